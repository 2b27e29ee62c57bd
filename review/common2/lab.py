"""A small deployment on loopback: the platform's store, links that can be cut, plain servers, clients and the project's
own entry instances, which run as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "lab.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-a"
HEARTBEAT_S = 1.2
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "strict_revoke": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 196,
          "recover_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 2500, "require_fence": False, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file with what was sent, answered and run, in seconds from the start."""

    def __init__(self, path):
        self.file, self.begin = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP ----------------------------------------------------------------------------------------------------------


class Message:
    def __init__(self, start, headers):
        self.start, self.headers, self.body, self.complete = start, headers, b"", True

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    """Returns the head of a message, or None if the connection ends before it is there."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message, on_part=None):
    """Reads the body; `complete` is False if it was cut off. Without length and chunks it ends with its connection."""
    parts = []

    def take(part):
        parts.append(part)
        if on_part:
            on_part(part)

    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
                if size:
                    take(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
        elif "content-length" in message.headers or not message.start.startswith("HTTP/"):
            take(await reader.readexactly(int(message.headers.get("content-length", "0"))))
        else:
            while part := await reader.read(65536):
                take(part)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        message.complete = False
    message.body = b"".join(parts)
    return message


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


def close(writer):
    try:
        writer.close()
    except (ConnectionError, RuntimeError):
        pass


def reset(writer):
    try:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


async def serve(address, handler):
    """Serves requests in order. The handler writes the answer and returns whether the connection stays open."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                await read_body(reader, message)
                if not message.complete or not await handler(message, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port), reuse_address=True)


# ---- Links ---------------------------------------------------------------------------------------------------------


class Link:
    """A proxy in front of one listener. `silent`: bytes and new connections are held, as behind a partition, and go on
    when it is healed; ends of connections are held, too. `refuse`: connections are reset, and new ones are reset at once.
    """

    def __init__(self, listen, target):
        self.listen, self.target, self.mode, self.pairs, self.server = listen, target, "ok", set(), None
        self.last_answer = 0.0  # when bytes of an answer last passed

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self._connection, host, int(port), reuse_address=True)
        return self

    def set_mode(self, mode):
        self.mode = mode
        if mode == "refuse":
            for writer in [each for pair in self.pairs for each in pair]:
                reset(writer)

    async def _held(self):
        while self.mode == "silent":
            await asyncio.sleep(0.01)

    async def _connection(self, reader, writer):
        await self._held()
        if self.mode == "refuse":
            reset(writer)
            return
        try:
            host, port = self.target.rsplit(":", 1)
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, back_writer)
        self.pairs.add(pair)
        await asyncio.gather(self._copy(reader, back_writer, False), self._copy(back_reader, writer, True))
        self.pairs.discard(pair)

    async def _copy(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                await self._held()
                writer.write(data)
                if is_answer:
                    self.last_answer = time.monotonic()
                await writer.drain()
        except ConnectionError:
            await self._held()
            reset(writer)
            return
        await self._held()
        close(writer)


# ---- The platform --------------------------------------------------------------------------------------------------


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    PAGE = 500

    def __init__(self):
        self.items, self.leases, self.history, self.revision, self.next_lease = {}, {}, [], 100, 1
        self.changed, self.down_since = asyncio.Event(), None

    def go_down(self):
        """Answers 503 from now on. Leases pause."""
        self.down_since = time.monotonic()

    def come_back(self):
        pause, self.down_since = time.monotonic() - self.down_since, None
        self.leases = {lease: (span, end + pause) for lease, (span, end) in self.leases.items()}

    async def start(self, address):
        self.expiry = asyncio.create_task(self._expire())
        return await serve(address, self._handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                "create_revision": old["create_revision"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self._note(dict(item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.down_since:
                continue
            for lease in [each for each, (_, end) in self.leases.items() if end < time.monotonic()]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, message, writer):
        if self.down_since:
            writer.write(json_response(503, {}))
            return True
        method, target, _ = message.start.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        call = parts.path.removeprefix("/crocusmount/")
        body = json.loads(message.body or b"{}")
        if call == "kv-watch":
            status, result = 200, await self._watch(query)
            if self.down_since:
                status, result = 503, {}
        elif call == "kv-range":
            status, result = 200, self._range(query)
        elif call == "kv-key":
            item = self.items.get(query.get("key", ""))
            status, result = (200, item | {"current_rev": self.revision}) if item else (404, {})
        elif call == "kv-txn":
            status, result = self._write(body)
        else:
            status, result = self._lease_call(method, call, body)
        writer.write(json_response(status, result))
        return True

    def _range(self, query):
        keys = [key for key in sorted(self.items)
                if key.startswith(query.get("prefix", "")) and key > query.get("after", "")]
        return {"entries": [self.items[key] for key in keys[:self.PAGE]], "more_pages": len(keys) > self.PAGE,
                "current_rev": self.revision}

    async def _watch(self, query):
        after, end = int(query["after"]), time.monotonic() + min(30000, int(query["wait_ms"])) / 1000
        prefix = query.get("prefix", "")
        while True:
            events = [each for each in self.history if each["revision"] > after and each["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, body):
        for row in body.get("expected", []):
            current = self.items.get(row["key"])
            if (current["revision"] if current else 0) != row["revision"]:
                return 412, {"entries": [current] if current else []}
        writes = body.get("writes", [])
        if any(each.get("lease") and each["lease"] not in self.leases for each in writes):
            return 404, {}
        for each in writes:
            self.put(each["key"], base64.b64decode(each["value"]).decode(), each.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _lease_call(self, method, call, body):
        now = time.monotonic()
        if call == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (body["ttl_ms"], now + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(call.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end(lease)
            return 200, {}
        span = self.leases[lease][0]
        self.leases[lease] = (span, now + span / 1000)
        return 200, {"ttl_ms": span}


def free_block():
    """Returns the first three numbers of loopback addresses on which nothing listens."""
    for _ in range(50):
        block = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for port in (7000, 8080, 8227):
                with socket.socket() as probe:
                    probe.bind((f"{block}.1", port))
            return block
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class PlainServer:
    """A server of a plain service: one request at a time on a connection, `work_s` each."""

    def __init__(self, lab, name, zone, address, work_s):
        self.lab, self.name, self.zone, self.address, self.work_s = lab, name, zone, address, work_s
        self.id, self.arrivals, self.running, self.listener, self.state = f"i-{name}", [], 0, None, "ready"

    async def start(self):
        self.listener = await serve(self.address, self._handle)
        self.register()

    def register(self):
        self.lab.store.put(f"servers/{self.id}", json.dumps(
            {"backend": "plain", "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
             "state": self.state, "cold_remaining_ms": 0, "seq": 1}))

    async def _handle(self, message, writer):
        target = message.start.split(" ")[1]
        if target == "/health":
            writer.write(response(200, b"", {"X-Instance-Id": self.id}))
            return True
        attempt = message.headers.get("x-attempt-id", "")
        if message.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(response(421, b"", {"X-Not-Executed": "1", "X-Attempt-Id": attempt, "X-Instance-Id": self.id}))
            return True
        self.arrivals.append((time.monotonic(), attempt))
        self.lab.record.write(f"{self.id} runs {attempt}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        writer.write(response(200, f"answer to {attempt}".encode(), {"X-Attempt-Id": attempt, "X-Server-Seal": self.id}))
        return True


class Instance:
    """One entry instance: the program and the arguments of the deploy file, with settings of its own."""

    def __init__(self, lab, name, zone, ip, store_address):
        self.lab, self.name, self.zone, self.ip = lab, name, zone, ip
        self.front, self.ready_address, self.directory = f"{ip}:8227", f"{ip}:8220", f"{ip}:8224"
        self.link = Link(f"{ip}:7000", store_address)  # its path to the store
        self.process = None

    def settings(self):
        zones = {each.zone: "region-a" for each in self.lab.instances}
        return {"node_name": self.name, "role": "entry", "machine_class": "front", "serves": ["front", "directory"],
                "ip": self.ip, "zone": self.zone, "region": "region-a", "zones": zones,
                "listen": {"front": self.front, "ready_addr": self.ready_address, "control": f"{self.ip}:8229",
                           "directory": self.directory},
                "port_range": [7340, 7355], "seeds": [], "bootstrap": True, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4200, "link_mbps": 1000.0,
                           "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                              "platform", "layers"],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "cloud_provider": {"address": self.link.listen, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                                   "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}

    async def start(self):
        if self.link.server is None:
            await self.link.start()
        path = os.path.join(self.lab.folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            json.dump(self.settings(), file)  # JSON is YAML.
        with open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(), stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "CROCUSMOUNT_NODE_FILE": path})

    async def is_ready(self):
        try:
            host, port = self.ready_address.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(f"GET /crocusmount/ready HTTP/1.1\r\nHost: {self.ready_address}\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            close(writer)
            return bool(head) and head.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


def deploy_command():
    """Returns the words of `run` of the role that the deploy file starts."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        words = re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1).split()
    program = os.path.join(ROOT, words[0])
    if not os.access(program, os.X_OK):
        raise CannotRun(f"{words[0]} is not built")
    return [program] + words[1:]


class Lab:
    """All parts of one run."""

    def __init__(self, record):
        self.record, self.store, self.instances, self.hosts, self.attempts, self.version = record, Store(), [], [], 0, 7
        self.folder, self.block = tempfile.mkdtemp(prefix="review-"), free_block()
        self.store_address = f"{self.block}.1:7000"

    async def start_store(self):
        self.store_listener = await self.store.start(self.store_address)

    def add_instance(self, number, zone):
        """Adds a machine. Names sort as the numbers do."""
        ip = f"{self.block}.{10 + number}"
        self.instances.append(Instance(self, f"front-{zone}-{number}", zone, ip, self.store_address))
        return self.instances[-1]

    def configure(self, routes, services):
        self.version += 3
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority_class": 1}]
        self.store.put("op/config", json.dumps({"version": self.version, "routes": routes, "services": services,
                                                "limits": limits, "tenants": tenants}))
        self.record.write(f"the operator has written version {self.version}")

    async def start_instances(self, instances=None):
        instances = instances or self.instances
        for each in instances:
            await each.start()
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all([await each.is_ready() for each in instances]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("an instance did not become ready")

    def request(self, method, path, headers=None, body=b"", deadline_ms=1000):
        """Returns the id and the bytes of a new request."""
        self.attempts += 1
        attempt = f"{random.getrandbits(40):010x}{self.attempts:06x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
                 f"Authorization: Bearer {KEY}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return attempt, "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def call(self, instance, method, path, headers=None, body=b"", deadline_ms=1000, on_part=None, wait_s=None):
        """Sends one request on a new connection; returns its id and the answer, or None if there was none."""
        attempt, data = self.request(method, path, headers, body, deadline_ms)
        host, port = instance.front.split(":")
        answer, writer = None, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(data)
            self.record.write(f"client sends {attempt} {method} {path} to {instance.name}")
            wait_s = wait_s or deadline_ms / 1000 + 1
            answer = await asyncio.wait_for(read_head(reader), wait_s)
            if answer:
                await asyncio.wait_for(read_body(reader, answer, on_part), wait_s)
        except asyncio.TimeoutError:
            if answer:
                answer.complete = False
        except OSError:
            pass
        finally:
            if writer:
                close(writer)
        said = f"{answer.status}, {'complete' if answer.complete else 'cut off'}" if answer else "no answer"
        self.record.write(f"client got {attempt}: {said}")
        return attempt, answer

    async def stop(self):
        for each in self.instances:
            if each.process and each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
        for each in self.hosts:
            await each.stop()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class EngineHost:
    """Runs the starts of one engine as processes behind a link, and beats for them in the store as they would."""

    def __init__(self, lab, name, zone, address, behind, event_ms, service="model", kind="card", load_s=0.2):
        self.lab, self.name, self.zone, self.event_ms, self.service, self.kind = lab, name, zone, event_ms, service, kind
        self.load_s, self.orders = load_s, []
        self.link, self.behind, self.incarnation, self.process = Link(address, behind), behind, 0, None
        self.layers, self.seq, self.runs, self.beating = (0, 0), 0, [], None

    @property
    def id(self):
        return f"i-{self.name}-{self.incarnation}"

    async def start(self):
        if self.link.server is None:
            await self.link.start()
        self.incarnation += 1
        self.layers, self.seq = (0, 0), 0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(os.path.dirname(os.path.abspath(__file__)), "engine.py"), self.behind, self.id,
            str(self.event_ms), stdout=asyncio.subprocess.PIPE,
            env=dict(os.environ, REACHED_AT=self.link.listen, LOAD_S=str(self.load_s)))
        await self.process.stdout.readline()
        self.lab.record.write(f"{self.id} starts")
        self.reading = asyncio.create_task(self._read(self.process, self.id))
        self.beating = asyncio.create_task(self._beat())

    async def _read(self, process, identity):
        while line := await process.stdout.readline():
            said = json.loads(line)
            if said["what"] == "layers":
                self.layers, self.seq = (said["begin"], said["end"]), said["seq"]
                self._register()
            elif said["what"] == "runs":
                self.runs.append((time.monotonic(), said["attempt"], identity))
                self.lab.record.write(f"{identity} runs {said['attempt']}")
            elif said["what"] == "order":
                self.orders.append((time.monotonic(), said["begin"], said["end"], identity))
                self.lab.record.write(f"{identity} is ordered to hold layers {said['begin']} to {said['end']}")
            elif said["what"] == "done":
                self.lab.record.write(f"{identity} has made the last event of {said['attempt']}")

    async def _beat(self):
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self):
        """Writes its entry, if the path to the store is there. The store ends an entry after three missed beats."""
        if self.link.mode != "ok" or self.lab.store.down_since:
            return
        key = f"servers/{self.id}"
        value = json.dumps({
            "backend": self.service, "address": self.link.listen, "zone": self.zone, "version": "v1", "slots": 192,
            "state": "ready", "cold_remaining_ms": 0, "stage": "unified", "route_type": self.kind,
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "layers": {"from": self.layers[0], "target": self.layers[1], "version": 1}, "seq": self.seq})
        if key not in self.lab.store.items or self.lab.store.items[key]["value"] != base64.b64encode(value.encode()).decode():
            self.lab.store.put(key, value)
            self.lab.record.write(f"{self.id} has written its entry")

    def kill(self):
        """Ends the process. The system closes its connections; its entry lapses."""
        self.process.kill()
        self.beating.cancel()
        self.lab.record.write(f"{self.id} is killed")
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.lab.store.remove, f"servers/{self.id}")

    async def stop(self):
        if self.beating:
            self.beating.cancel()
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def model_service(layers, card_mb, name="model", kind="card", load_s=0.4):
    return {"name": name, "health_check": "/health", "max_connections": 988, "protocol": "h1", "tls": False,
            "engine": {"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 8000, "link_mbps": 400000.0, "stride": 4,
                       "models": [{"name": "m0", "pace": 1.0, "load_s": load_s, "warm_s": 0.0}], "step_ms": 1.02,
                       "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "pairs_per_m": 0.199,
                       "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6, "delays": [],
                       "usual": {"prompt": 775, "answer": 220}, "layers": layers, "layer_mb": 100.0, "act_bytes": 29500,
                       "pipe_mbps": 16000.0,
                       "kinds": [{"name": kind, "size_mb": card_mb, "pace": 1.0, "read_x": 1.0}]}}


def play(folder, scenario, limit_s=115):
    """Runs `scenario(lab, trouble)`, which returns the breaches of the rule, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        lab = Lab(record)
        try:
            await lab.start_store()
            return await asyncio.wait_for(scenario(lab, trouble), limit_s)
        finally:
            await lab.stop()

    try:
        breaches = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for each in breaches:
        record.write(f"BREACH {each}")
    for each in breaches[:5]:
        print(each)
    record.write(f"{len(breaches)} breaches of the rule")
    print(f"the rule was broken {len(breaches)} times" if breaches else "the rule held")
    record.close()
    sys.exit(1 if breaches else 0)
