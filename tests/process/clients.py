#!/usr/bin/env python3
"""Clients that do not behave, against real processes on loopback with lowered limits.

Usage: clients.py [--cases NAME,...] [--known-red FILE] [--list]

Each case starts one process, sends a crowd at one of its listeners and checks that the process lives, that its memory and
its sockets stay under the limits of its machine, and that an ordinary request is answered while the crowd's connections
are still open and after they are closed. A request that is answered as not run must not have run. Nothing is judged by
time. Cases that FILE lists are left out.
"""

import argparse
import asyncio
import contextlib
import hashlib
import json
import os
import resource
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from httpio import close, read_body, read_head, response  # noqa: E402
from standins import Fleet, Server, Store  # noqa: E402

# The machine, with lower limits than the smallest that the platform has.
MEMORY_MB = 100
MAX_FDS = 500
FILE_FDS = 200  # of MAX_FDS, as on the platform; the others are sockets
DAEMON_FDS = 300
CROWD = 400
BODY = 1 << 20  # the largest body that a client may send
HEADER_BYTES = 16384
ENDLESS_BYTES = 128 << 20  # what a client sends of a message without end, unless its connection is closed
IDLE_TIMEOUT_MS = 15000
PATIENCE_S = 40  # of an ordinary caller, who tries again; longer than any timeout of the instance
ANSWER_BYTES = 2 << 20

NET = "127.7"  # of all addresses
KEY = "clients-key"
REQUEST = f"X-Attempt-Id: {{}}\r\nHost: soak.example\r\nAuthorization: Bearer {KEY}\r\nX-Deadline-Ms: 30000\r\n"


class PlainServer(Server):
    """Answers with a digest of the body. A request may ask for a slow or a large answer."""

    async def _answer(self, message, writer):
        if "x-attempt-id" not in message.headers:
            return await super()._answer(message, writer)
        self.fleet.ran(message.headers["x-attempt-id"])
        await asyncio.sleep(float(message.headers.get("x-work-s", "0")))
        body = hashlib.sha256(message.body).hexdigest().encode() + bytes(int(message.headers.get("x-answer-bytes", "0")))
        seen = {name: message.headers.get(name, "") for name in ("x-tenant", "x-late", "x-model")}
        writer.write(response(200, body, {"X-Attempt-Id": message.headers["x-attempt-id"], "X-Server-Seal": self.id,
                                          "X-Seen": json.dumps(seen)}))
        await writer.drain()
        return True


class Target:
    """A process under test, with the address of its listener that the crowd connects to."""

    def __init__(self, folder, listener):
        self.folder, self.listener, self.process, self.attempts = folder, listener, None, 0
        self.most_sockets, self.most_kb, self.tasks = 0, 0, []
        self.refused = {}  # by attempt: the status of its answer

    async def spawn(self, fds, *command):
        with open(f"{self.folder}/{os.path.basename(command[0])}.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (fds, fds)))

    def ran_attempts(self):
        """Returns the attempts that reached a server."""
        return set()

    def lives(self):
        return self.process.returncode is None

    def socket_count(self):
        count = 0
        folder = f"/proc/{self.process.pid}/fd"
        with contextlib.suppress(OSError):
            for each in os.listdir(folder):
                with contextlib.suppress(OSError):
                    count += os.readlink(f"{folder}/{each}").startswith("socket:")
        return count

    def resident_kb(self):
        with contextlib.suppress(OSError, ValueError, StopIteration), open(f"/proc/{self.process.pid}/status") as file:
            return int(next(line for line in file if line.startswith("VmRSS")).split()[1])
        return 0

    def unread_kb(self):
        """Returns the bytes that the system has received for this process and that the process has not read."""
        host = "".join(f"{int(part):02X}" for part in reversed(self.address().split(":")[0].split(".")))
        total = 0
        with open("/proc/net/tcp") as file:
            for line in file:
                fields = line.split()
                if len(fields) > 4 and fields[1].startswith(host) and fields[3] in ("01", "08"):
                    total += int(fields[4].split(":")[1], 16)
        return total // 1024

    async def measure(self):
        while True:
            self.sample()
            await asyncio.sleep(0.02)

    def sample(self):
        self.most_sockets = max(self.most_sockets, self.socket_count())
        self.most_kb = max(self.most_kb, self.resident_kb() + self.unread_kb())

    async def ordinary(self, head="", body=b"ordinary", feed=None, patience_s=PATIENCE_S):
        """Sends one request as callers do: again on a new connection until it is answered with success.

        Returns the answer, or None; `feed` replaces the way in which the body is sent.
        """
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            answer = await self.one_request(head, body, feed)
            if answer and answer.status == 200 and answer.complete:
                return answer
            await asyncio.sleep(0.2)
        return None

    async def one_request(self, head, body, feed, stream=None):
        self.attempts += 1
        try:
            reader, writer = stream or await asyncio.wait_for(asyncio.open_connection(*split(self.service_address())), 2)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            writer.write(self.request_line().encode() + REQUEST.format(f"o{self.attempts}").encode() + head.encode())
            if feed:
                await feed(writer)
            else:
                writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(read_head(reader), PATIENCE_S)
            return await read_body(reader, answer) if answer else None
        except (ConnectionError, asyncio.TimeoutError):
            return None
        finally:
            if not stream:
                close(writer)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.process and self.lives():
            self.process.kill()
            await self.process.wait()


class Entry(Target):
    """crocusmount-entry, with a store and one plain server."""

    def __init__(self, folder, listener, limits):
        super().__init__(folder, listener)
        self.limits, self.store, self.fleet, self.servers = limits, Store(), None, []
        self.fleet = Fleet(self.store, 1)

    def address(self):
        return f"{NET}.91.1:" + {"front": "8227", "directory": "8224", "ready": "8220", "metrics": "9464"}[self.listener]

    def service_address(self):
        return f"{NET}.91.1:8227"

    def ran_attempts(self):
        return self.fleet.runs

    def request_line(self):
        return "POST /look/x HTTP/1.1\r\n"

    def body_seen(self, answer):
        """Returns what the server says that it received, in the form of body_sent()."""
        return answer.body

    def body_sent(self, body):
        return hashlib.sha256(body).hexdigest().encode()

    async def start(self):
        self.listeners = [await self.store.start(f"{NET}.90.1:7000")]
        self.store.put("op/config", json.dumps({
            "version": 1, "limits": {"max_header_bytes": HEADER_BYTES, "max_body_bytes": BODY, "header_timeout_ms": 3000,
                                     "idle_timeout_ms": IDLE_TIMEOUT_MS} | self.limits,
            "routes": [{"name": "look", "hostname": "soak.example", "prefix": "/look/", "route_type": "idempotent",
                        "resumable": False, "timeout_ms": 30000, "target_latency_ms": 500, "priority_class": 1,
                        "max_attempts": 2, "backend": "plain"}],
            "services": [{"name": "plain", "health_check": "/health"}],
            "tenants": [{"name": "w0", "api_keys": [KEY]}]}))
        for number in range(2):
            server = PlainServer(self.fleet, f"p{number}", "plain", "za", f"{NET}.94.{number + 1}:8080",
                                 f"{NET}.94.{number + 101}:8080")
            await server.start()
            server.unframed = False
            self.servers.append(server)
        path = f"{self.folder}/settings.yaml"
        with open(path, "w") as file:
            file.write(json.dumps({
                "node_name": "entry", "zone": "za", "ip": f"{NET}.91.1",
                "listen": {"front": f"{NET}.91.1:8227", "ready_addr": f"{NET}.91.1:8220", "directory": f"{NET}.91.1:8224"},
                "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS, "link_mbps": 1000},
                "port_range": [7340, 7355], "cloud_provider": {"address": f"{NET}.90.1:7000"},
                "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 200}}))
        self.process = await self.spawn(MAX_FDS, os.path.abspath("build/crocusmount-entry"), "--settings", path)
        self.socket_bound = MAX_FDS - FILE_FDS

    async def stop(self):
        await super().stop()
        for server in self.servers:
            server.listener.close()
            server.link.server.close()
        for each in self.listeners:
            each.close()


class Daemon(Target):
    """crocusmountd, with a store and one plain service."""

    def address(self):
        return f"{NET}.81.1:7000"

    def service_address(self):
        return self.address()

    def request_line(self):
        return "PUT /v1/services/registry/x HTTP/1.1\r\n"

    def body_seen(self, answer):
        return json.loads(answer.body)["echo"]

    def body_sent(self, body):
        return body.decode()

    async def start(self):
        program = os.path.abspath("build/crocusmount-standin")
        self.standins = [
            await self.spawn(4096, program, "store", "--listen", f"{NET}.81.1:7100"),
            await self.spawn(4096, program, "instances", "--listen", f"{NET}.81.1:7101", "--lag-ms", "100"),
            await self.spawn(4096, program, "service", "--listen", f"{NET}.81.1:7102")]
        path, configuration = f"{self.folder}/daemon.json", f"{self.folder}/configuration.json"
        token = hashlib.sha256(b"operator").hexdigest()
        settings = {"instance": "entry1", "dataCentre": "dc1", "listen": f"{NET}.81.1:7000", "peerListen": f"{NET}.81.1:7001",
                    "store": [f"{NET}.81.1:7100"], "instanceList": f"{NET}.81.1:7101", "operatorTokenSha256": [token],
                    "http": self.http_settings()}
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(configuration, "w") as file:
            json.dump({"workspaces": [{"id": "city", "tokenSha256": [hashlib.sha256(KEY.encode()).hexdigest()]}],
                       "pipelines": [{"id": "registry", "kind": "Service", "model": "registry",
                                      "selector": {"tier": "service"}, "deadlineMs": 30000}],
                       "backends": [{"id": "registry1", "address": f"{NET}.81.1:7102", "dataCentre": "dc1",
                                     "accelerator": "none", "service": "registry", "labels": {"tier": "service"}}]}, file)
        self.process = await self.spawn(DAEMON_FDS, os.path.abspath("build/crocusmountd"), "--config", path)
        self.socket_bound = DAEMON_FDS
        os.environ |= {"CROCUSMOUNT_ENTRY": f"{NET}.81.1:7000", "CROCUSMOUNT_TOKEN": "operator"}
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            apply = await self.spawn(4096, os.path.abspath("build/crocusmount"), "apply", configuration, "--base", "0")
            if await apply.wait() == 0:
                return
            await asyncio.sleep(0.2)

    def http_settings(self):
        return {"memoryMb": MEMORY_MB}

    async def stop(self):
        await super().stop()
        for each in self.standins:
            each.kill()
            await each.wait()


def split(address):
    host, port = address.split(":")
    return host, int(port)


# ---- What clients send -----------------------------------------------------------------------------------------------


class Chunked:
    """Sends a chunked body: `count` chunks of `size` bytes, and then `tail` again and again without end."""

    def __init__(self, count=0, size=1, tail=b"", before=b""):
        self.block, self.count, self.tail, self.before = b"%x\r\n" % size + b"x" * size + b"\r\n", count, tail, before

    async def __call__(self, target, reader, writer, number):
        writer.write(target.request_line().encode() + REQUEST.format(f"c{number}").encode()
                     + b"Transfer-Encoding: chunked\r\n\r\n")
        per_write = max(1, 65536 // len(self.block))
        for begin in range(0, self.count, per_write):
            await write(writer, self.block * min(per_write, self.count - begin))
        await write(writer, self.before)
        if self.tail:
            await endless(writer, self.tail)


class Announced:
    """Announces a body and sends a part of it."""

    def __init__(self, announced, sent):
        self.announced, self.sent = announced, sent

    async def __call__(self, target, reader, writer, number):
        writer.write(target.request_line().encode() + REQUEST.format(f"c{number}").encode()
                     + b"Content-Length: %d\r\n\r\n" % self.announced)
        for begin in range(0, self.sent, 65536):
            await write(writer, b"x" * min(65536, self.sent - begin))


class Raw:
    """Sends some bytes, and then a tail again and again without end."""

    def __init__(self, head=b"", tail=b""):
        self.head, self.tail = head, tail

    async def __call__(self, target, reader, writer, number):
        await write(writer, self.head)
        if self.tail:
            await endless(writer, self.tail)


class Behind:
    """Asks for an answer that takes long, and sends bytes without end behind the request meanwhile."""

    async def __call__(self, target, reader, writer, number):
        writer.write(target.request_line().encode() + REQUEST.format(f"c{number}").encode()
                     + b"X-Work-S: 20\r\nContent-Length: 0\r\n\r\n")
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(write(writer, b"POST /look/x HTTP/1.1\r\n" + b"x" * (2 << 20)), 10)


class Waiting:
    """Sends a whole request whose answer takes long."""

    async def __call__(self, target, reader, writer, number):
        writer.write(target.request_line().encode() + REQUEST.format(f"c{number}").encode()
                     + b"X-Work-S: 20\r\nContent-Length: %d\r\n\r\n" % BODY)
        for begin in range(0, BODY, 65536):
            await write(writer, b"x" * 65536)
        await note_refusal(target, reader, number)


async def note_refusal(target, reader, number):
    """Notes the status if the request is refused while others are sent."""
    with contextlib.suppress(asyncio.TimeoutError):
        head = await asyncio.wait_for(read_head(reader), 3)
        if head:
            target.refused[f"c{number}"] = head.status


class Unread:
    """Asks for a large answer and reads nothing of it."""

    async def __call__(self, target, reader, writer, number):
        writer.transport.pause_reading()
        writer.write(target.request_line().encode() + REQUEST.format(f"c{number}").encode()
                     + f"X-Answer-Bytes: {ANSWER_BYTES}\r\nContent-Length: 0\r\n\r\n".encode())
        await asyncio.sleep(3)


async def write(writer, data):
    writer.write(data)
    await writer.drain()


async def endless(writer, tail):
    block = tail * max(1, 65536 // len(tail))
    for _ in range(ENDLESS_BYTES // len(block)):
        await write(writer, block)


async def crowd_member(target, send, number, opened):
    """Opens a connection and sends; the connection stays open until the crowd is closed."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*split(target.address()), limit=4096), 10)
    except (OSError, asyncio.TimeoutError):
        return
    opened.append(writer)
    with contextlib.suppress(ConnectionError):
        await send(target, reader, writer, number)


LINE = b"X-Line: " + b"a" * 50 + b"\r\n"
ONE_BYTE = Chunked(before=b"1\r\nx\r\n")
LISTENERS = {
    "front": lambda folder, limits: Entry(folder, "front", limits),
    "directory": lambda folder, limits: Entry(folder, "directory", limits),
    "ready": lambda folder, limits: Entry(folder, "ready", limits),
    "metrics": lambda folder, limits: Entry(folder, "metrics", limits),
    "daemon": lambda folder, limits: Daemon(folder, "daemon"),
}
FRONT = ["front"]
EVERY = list(LISTENERS)
OPEN = ["front", "directory", "daemon"]  # one listener of each server
# Name, listeners, connections, what each sends, limits of the configuration.
CROWDS = [
    ("trailer-lines-without-end", EVERY, 2, Chunked(before=b"0\r\n", tail=LINE), {}),
    ("trailer-line-without-end", EVERY, 2, Chunked(before=b"0\r\nX-Line: ", tail=b"a"), {}),
    ("extension-without-end", EVERY, 2, Chunked(before=b"1;a=", tail=b"b"), {}),
    ("extension-of-the-last-chunk", OPEN, 2, Chunked(before=b"0;a=", tail=b"b"), {}),
    ("chunk-size-without-end", OPEN, 2, Chunked(tail=b"0"), {}),
    ("chunks-without-end", OPEN, 4, Chunked(tail=b"1000\r\n" + b"x" * 4096 + b"\r\n"), {}),
    ("tiny-chunks-without-end", OPEN, 4, Chunked(tail=b"1\r\nx\r\n"), {}),
    ("head-without-end", OPEN, 4, Raw(b"POST /look/x HTTP/1.1\r\n", LINE), {}),
    ("large-chunks-stopping-short", OPEN, CROWD, Chunked(count=15, size=65536, before=b"ffff\r\n" + b"x" * 65534), {}),
    ("tiny-chunks-stopping-short", OPEN, CROWD, Chunked(count=300000), {}),
    ("lengths-one-byte-short", EVERY, CROWD, Announced(BODY, BODY - 1), {}),
    ("announced-far-over-the-limit", OPEN, CROWD, Announced(1000 * BODY, 2 * BODY), {}),
    ("announced-only", OPEN, CROWD, Announced(BODY, 1), {}),
    ("body-limit-over-the-memory", FRONT, 4, Announced(10 ** 12, ENDLESS_BYTES), {"max_body_bytes": 10 ** 15}),
    ("chunks-under-a-limit-over-the-memory", FRONT, 4, Chunked(tail=b"1000\r\n" + b"x" * 4096 + b"\r\n"),
     {"max_body_bytes": 10 ** 15}),
    ("head-limit-over-the-memory", FRONT, 4, Raw(b"POST /look/x HTTP/1.1\r\n", LINE), {"max_header_bytes": 3 * 10 ** 9}),
    ("header-value-over-64-kb", FRONT, 1, Raw(b"POST /look/x HTTP/1.1\r\nX-Long: " + b"a" * 70000 + b"\r\n\r\n"),
     {"max_header_bytes": 200000}),
    ("one-byte-of-a-body", EVERY, CROWD, ONE_BYTE, {}),
    ("half-a-head", OPEN, CROWD, Raw(b"POST /look/x HTTP/1.1\r\nHost: so"), {}),
    ("no-byte", OPEN, CROWD, Raw(), {}),
    ("bytes-behind-a-request", FRONT, 100, Behind(), {}),
    ("answers-not-read", FRONT, 100, Unread(), {}),
    ("whole-bodies-that-wait", FRONT, CROWD, Waiting(), {}),
]


async def run_crowd(case):
    _, target, connections, send = case
    broken, opened = [], []
    await target.start()
    try:
        if not await target.ordinary():
            return ["no ordinary request is answered in calm"]
        target.tasks.append(asyncio.create_task(target.measure()))
        await asyncio.gather(*(crowd_member(target, send, number, opened) for number in range(connections)))
        target.sample()
        if target.lives() and not await target.ordinary():
            broken.append("an ordinary request is not answered beside the crowd")
        target.sample()
        for writer in opened:
            writer.transport.abort()
        if target.lives() and not await target.ordinary():
            broken.append("an ordinary request is not answered after the crowd")
        if not target.lives():
            broken.append(f"the process ended with {target.process.returncode}")
        for attempt, status in target.refused.items():
            if status in (408, 413, 429, 431, 503) and attempt in target.ran_attempts():
                broken.append(f"{attempt} was answered {status} and ran")
        if target.most_kb > MEMORY_MB * 1024:
            broken.append(f"{target.most_kb // 1024} MB, bound {MEMORY_MB}")
        if target.most_sockets > target.socket_bound:
            broken.append(f"{target.most_sockets} sockets, bound {target.socket_bound}")
        refused = f", {len(target.refused)} refused" if target.refused else ""
        print(f"  {target.most_kb // 1024} MB, {target.most_sockets} sockets{refused}", flush=True)
        return broken
    finally:
        await target.stop()


# ---- Clients inside the limits -----------------------------------------------------------------------------------------


async def tiny_chunks(writer):
    writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
    for begin in range(0, BODY, 8192):
        await write(writer, b"1\r\nx\r\n" * min(8192, BODY - begin))
    await write(writer, b"0\r\n\r\n")


async def slow_sender(writer):
    writer.write(b"Content-Length: 100\r\n\r\n")
    for _ in range(100):
        await write(writer, b"x")
        await asyncio.sleep(IDLE_TIMEOUT_MS / 1000 * 0.6 / 100)


async def largest_trailers(writer):
    lines = b"".join(b"X-Line-%03d: %s\r\n" % (number, b"a" * 100) for number in range(HEADER_BYTES // 115))
    await write(writer, b"Transfer-Encoding: chunked\r\n\r\n4;name=value\r\nbody\r\n0;name=value\r\n" + lines + b"\r\n")


async def empty_chunks_in_pieces(writer):
    """Sends a body without chunks, each byte by itself: the parser meets the last chunk before its end has arrived."""
    await write(writer, b"Transfer-Encoding: chunked\r\n\r\n")
    for each in b"0\r\n\r\n":
        await asyncio.sleep(0.05)
        await write(writer, bytes([each]))


def trailers(lines):
    """Returns how to send a body in one chunk, and these trailers."""

    async def send(writer):
        await write(writer, b"X-Model: m\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + lines + b"\r\n")

    return send


async def keep_alive(target):
    """Callers use connections that were idle for up to four fifths of the idle timeout."""
    streams = [await asyncio.open_connection(*split(target.service_address())) for _ in range(100)]
    for pause_s in (0, IDLE_TIMEOUT_MS / 1000 * 0.8):
        await asyncio.sleep(pause_s)
        answers = await asyncio.gather(*(target.one_request("", b"x", None, stream) for stream in streams))
        if any(answer is None or answer.status != 200 for answer in answers):
            return f"after {pause_s} s only {sum(bool(each) and each.status == 200 for each in answers)} answers"
    for _, writer in streams:
        close(writer)
    return None


def expects(body, feed=None, head="", seen=None):
    """Returns a check of one request in calm: served at the first try, with this body."""

    async def check(target):
        answer = await target.one_request(head, body, feed)
        if answer is None or answer.status != 200:
            return f"answered {answer.status if answer else 'nothing'} {answer.body[:200] if answer else ''}"
        if target.body_seen(answer) != target.body_sent(body):
            return "the server got another body"
        if answer.headers.get("x-attempt-id", f"o{target.attempts}") != f"o{target.attempts}":
            return f"the request became {answer.headers.get('x-attempt-id')}"
        for name, value in (seen or {}).items():
            if json.loads(answer.headers["x-seen"])[name] != value:
                return f"the server got {answer.headers['x-seen']}"
        return None

    return check


CALM = [
    ("inside-largest-body", expects(b"x" * BODY)),
    ("inside-tiny-chunks", expects(b"x" * BODY, tiny_chunks)),
    ("inside-slow-sender", expects(b"x" * 100, slow_sender)),
    ("empty-chunks-in-pieces", expects(b"", empty_chunks_in_pieces)),
    ("inside-largest-trailers", expects(b"body", largest_trailers)),
    ("trailers-set-no-header", expects(b"body", trailers(b"X-Late: 1\r\n"), seen={"x-late": "", "x-model": "m"})),
    ("trailers-take-no-header-away", expects(b"body", trailers(b"Connection: X-Model\r\n"), seen={"x-model": "m"})),
    ("trailers-of-names-that-stand-once", expects(
        b"body", trailers(b"Host: o\r\nAuthorization: Bearer o\r\nX-Attempt-Id: o\r\n"), seen={"x-tenant": "w0"})),
    ("inside-keep-alive", keep_alive),
]


async def run_calm(target, check):
    await target.start()
    try:
        if not await target.ordinary():
            return ["no ordinary request is answered in calm"]
        fault = await check(target)
        return ([fault] if fault else []) + ([] if target.lives() else ["the process ended"])
    finally:
        await target.stop()


def cases():
    """Returns name and coroutine function of each case."""
    table = {}
    for name, listeners, connections, send, limits in CROWDS:
        for listener in listeners:
            def run(folder, listener=listener, connections=connections, send=send, limits=limits, name=name):
                return run_crowd((name, LISTENERS[listener](folder, limits), connections, send))
            table[f"{name}-{listener}"] = run
    for name, check in CALM:
        for listener in ["front"] if name.startswith("trailers") else ["front", "daemon"]:
            def run_check(folder, listener=listener, check=check):
                return run_calm(LISTENERS[listener](folder, {}), check)
            table[f"{name}-{listener}"] = run_check
    return table


def main():
    parser = argparse.ArgumentParser(description="clients that do not behave")
    parser.add_argument("--cases", default="", help="names of cases or their beginnings, with commas; all if omitted")
    parser.add_argument("--known-red", default="", help="a list with lines 'tests/process/clients.py NAME: ...' to leave out")
    parser.add_argument("--block", type=int, default=7, help="second number of the loopback addresses, 1 to 254")
    parser.add_argument("--list", action="store_true", help="print the names")
    arguments = parser.parse_args()
    global NET
    NET = f"127.{arguments.block}"
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    known = set()
    if arguments.known_red:
        with open(arguments.known_red) as file:
            known = {line.split()[1].rstrip(":") for line in file if line.startswith("tests/process/clients.py ")}
    wanted = tuple(arguments.cases.split(",")) if arguments.cases else ("",)
    passed = failed = 0
    for name, run in cases().items():
        if name in known or not name.startswith(wanted):
            continue
        if arguments.list:
            print(name)
            continue
        folder = tempfile.mkdtemp(prefix=f"clients-{name}-")
        broken = asyncio.run(run(folder))
        passed, failed = passed + (not broken), failed + bool(broken)
        print(f"{'FAILED' if broken else 'ok'}: {name}", flush=True)
        for text in broken:
            print(f"  {text} (logs: {folder})", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
