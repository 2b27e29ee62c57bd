"""Runs entry instances beside a stand-in for the platform's store, on loopback addresses and free ports.

The store and the HTTP helpers are those of tests/soak.
"""

import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
from httpio import close, read_body, read_head  # noqa: E402
from standins import Store  # noqa: E402

# The command of deploy/system.toml.
COMMAND = ["target/crocusmount-entry", "--without", "start-admission,group-losses"]
METRICS_PORT = 9464  # fixed by the deploy file
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case cannot run here, which says nothing about the rule."""


def is_free(ip, port, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_net(addresses):
    """Returns the first three numbers of a loopback network whose first addresses have the metrics port free."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(is_free(f"{net}.{host}", METRICS_PORT) for host in range(1, addresses + 1)):
            return net
    raise CannotRun("no loopback network with free ports")


class Record:
    """The record of a run: a line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file, self.began = open(os.path.join(folder, "record.txt"), "w", buffering=1), time.time()

    def write(self, text):
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")


class Platform:
    """The store, the configuration and the entry instances of a small deployment."""

    # The bounds of odpoklic-lj.
    BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
              "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
              "max_stretch_ms": 5000, "strict_revoke": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
              "budget_window_s": 10, "budget_slack": 196, "recover_s": 12, "pass_ms": 120, "again_s": 0,
              "stall_ms": 2500, "require_fence": False, "ttl_max_s": 5}
    LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

    def __init__(self, instances, record, zones=("hall-a", "hall-b", "hall-c")):
        if not os.access(os.path.join(ROOT, COMMAND[0]), os.X_OK):
            raise CannotRun(f"{COMMAND[0]} is not built")
        self.net, self.record, self.zones, self.store = free_net(instances), record, zones, Store()
        self.folder = tempfile.TemporaryDirectory(prefix="crocusmount-review-")
        self.store_address = f"{self.net}.200:{free_port(f'{self.net}.200')}"
        first = f"{self.net}.1"
        self.ports = {name: free_port(first) for name in ("front", "ready_addr", "control", "directory", "peer")}
        self.processes = [None] * instances
        self.version = 0

    def address(self, number, name="front"):
        return f"{self.net}.{number + 1}:{self.ports[name]}"

    def settings(self, number):
        ip, zone = f"{self.net}.{number + 1}", self.zones[number % len(self.zones)]
        return {"node_name": f"front-{zone}-{number}", "role": "entry", "machine_class": "front",
                "serves": ["front", "directory"], "ip": ip, "zone": zone, "region": "ljubljana",
                "zones": {each: "ljubljana" for each in self.zones},
                "listen": {each: self.address(number, each) for each in ("front", "ready_addr", "control", "directory")},
                "port_range": [self.ports["peer"], self.ports["peer"]], "seeds": [], "bootstrap": True,
                "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4200, "link_mbps": 1000.0,
                           "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": 1200,
                "bounds": self.BOUNDS,
                "cloud_provider": {"address": self.store_address, "form": "kv", "writes_per_s": 400,
                                   "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}

    async def start(self, routes, services, tenants=()):
        self.listener = await self.store.start(self.store_address)
        self.configure(routes, services, tenants)
        for number in range(len(self.processes)):
            await self.start_instance(number)

    def configure(self, routes, services, tenants=()):
        self.version += random.randint(1, 5)
        self.store.put("op/config", json.dumps({"version": self.version, "routes": routes, "services": services,
                                                "limits": self.LIMITS, "tenants": list(tenants)}))

    async def start_instance(self, number):
        path = os.path.join(self.folder.name, f"{number}.yaml")
        with open(path, "w") as file:
            json.dump(self.settings(number), file)  # JSON is YAML
        log = open(os.path.join(self.folder.name, f"{number}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.processes[number] = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env=environment | {"CROCUSMOUNT_NODE_FILE": path})

    async def until_ready(self, seconds=10):
        for number in range(len(self.processes)):
            end = time.monotonic() + seconds
            while await self._ready_status(number) != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"instance {number} is not ready")
                await asyncio.sleep(0.1)

    async def _ready_status(self, number):
        answer = await exchange(self.address(number, "ready_addr"),
                                b"GET /crocusmount/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
        return answer.status if answer else None

    def register(self, server_id, service, zone, address, slots, **fields):
        """Writes the entry of a server, as the server itself does."""
        self.store.put(f"servers/{server_id}", json.dumps(
            {"backend": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
             "cold_remaining_ms": 0, "seq": 0} | fields))

    async def stop(self):
        for process in self.processes:
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        self.folder.cleanup()


def route(name, kind, service, timeout_ms, objective_ms, attempts, resumable=False):
    return {"name": f"r-{name}", "hostname": "review.example", "prefix": f"/{name}/", "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": objective_ms, "priority_class": 1, "backend": service,
            "max_attempts": attempts, "anonymous": False, "sticky": False, "resumable": resumable, "gap_aim_ms": 250}


def request(method, path, attempt, deadline_ms, headers=None, body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: review.example", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(address, data, seconds):
    """Sends a request on a new connection. Returns the answer, or None if there is none."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(data)
        head = await asyncio.wait_for(read_head(reader), seconds)
        return await asyncio.wait_for(read_body(reader, head), seconds) if head else None
    except (ConnectionError, asyncio.TimeoutError):
        return None
    finally:
        close(writer)


def main(case, folder):
    """Runs a case and ends the process with its result. `case` takes the record and whether to cause trouble."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(case(record, os.environ.get("TROUBLE", "1") != "0"), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"cannot run: {error!r}")
        result = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
