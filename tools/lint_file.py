#!/usr/bin/env python3
"""Runs clang-tidy on one source file, unless a run with the same inputs has passed before.

The inputs are the file and every header that it includes, the compile command, the checks and clang-tidy's version. Only
passes are kept, as empty files named by a hash of the inputs.

Usage: lint_file.py DATABASE_DIR FILE [clang-tidy's further arguments]
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "crocusmount-lint"


def compile_command(database, file):
    """Returns the command that compiles the file, and its folder, or nothing if the build does not compile it."""
    for entry in json.loads((pathlib.Path(database) / "compile_commands.json").read_text()):
        if pathlib.Path(entry["file"]).resolve() == file:
            words = entry.get("arguments") or shlex.split(entry["command"])
            return ([word for word in words if "ccache" not in pathlib.Path(word).name], entry["directory"])
    return None


def included_files(words, folder):
    """Returns the file and all headers that it includes, or nothing if the preprocessor fails."""
    if "-o" in words:
        at = words.index("-o")
        words = words[:at] + words[at + 2:]
    result = subprocess.run([*words, "-M", "-MT", "x"], cwd=folder, capture_output=True, text=True, check=False)
    if result.returncode != 0:
        return None
    names = result.stdout.replace("\\\n", " ").split(":", 1)[1].split()
    return [pathlib.Path(folder) / name for name in names]


def input_key(database, file, arguments):
    """Returns the hash of everything that a run on the file depends on, or nothing if that cannot be told."""
    command = compile_command(database, file)
    files = included_files(*command) if command else None
    if not files:
        return None
    root = str(pathlib.Path.cwd().resolve())
    digest = hashlib.sha256()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    digest.update(version + pathlib.Path(".clang-tidy").read_bytes())
    digest.update(" ".join([*command[0], *arguments]).replace(root, "").encode())
    for each in sorted(files):
        digest.update(str(each).replace(root, "").encode() + b"\0" + hashlib.sha256(each.read_bytes()).digest())
    return digest.hexdigest()


def main():
    database, name, *arguments = sys.argv[1:]
    key = input_key(database, pathlib.Path(name).resolve(), arguments)
    passed = CACHE / key if key else None
    if passed and passed.exists():
        return 0
    result = subprocess.run(["clang-tidy", "--quiet", "-p", database, *arguments, name],
                            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=False)
    sys.stdout.buffer.write(result.stdout)
    if passed and result.returncode == 0 and not result.stdout.strip():
        CACHE.mkdir(parents=True, exist_ok=True)
        passed.touch()
    return result.returncode


sys.exit(main())
