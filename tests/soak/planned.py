#!/usr/bin/env python3
"""Runs entry instances as processes while nothing fails: planned work comes in series, and processor time is short.

Usage: planned.py [--seed N] [--seconds N] [--instances N] [--share X] [--server-share X] [--busy N] [--silent X]
       [--unframed X] [--terms S] [--hups] [--idle] [--program FILE]

Each call must be answered whole, or refused as not run. Any other end is printed with the command that repeats the run
and the folder of the instances' logs. Planned work is new configurations, SIGTERM and SIGHUP. Processor time is short in
two ways: each instance, or the process of all servers, is stopped for a part of each period, as by a quota, and
processes that only compute run beside.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import shlex
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402
from httpio import close, read_body, read_head  # noqa: E402
from soak import GRACE_S, Soak, key_of, prompt_parts, start_fleet  # noqa: E402

STALL_CHECK_S = 0.1
IDLE_HOSTS = 40
STARTED_S = 2  # from a start, or a SIGTERM, to the next SIGHUP
DEADLINE_S = 20  # of each call, and the timeout of each route
SILENCES_S = (0.5, 2.0)  # range of the silences of servers, during which they work
IDLE_LIMITS_MS = [1500, 4000, 15000]
IDLE_SHARE = 0.8  # of the idle limit in force, for which callers reuse connections
# Ends that rule LOST does not count: the request was not read, or its end was due.
CROSSED_S = 0.2  # longest time from the last byte of a request to the close that it crossed
DUE_SHARE = 0.7  # of the time of a call
LAST_OF_GRACE = 5 / 6  # of the grace, after which calls of the first GRACE_SENT_S may be cut off
GRACE_SENT_S = 3
CUT, FAILED, REFUSED, WHOLE, CROSSED, DUE = "cut", "failed", "refused", "whole", "crossed", "due"


def compute(seconds):
    """Uses a processor for a bounded time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(10000))


class NoLink:
    """Takes the place of the link of a server that callers reach without one."""

    server = None

    async def start(self):
        pass


class SilentServer(standins.Server):
    """A server that is silent for a while at times, as it works."""

    silent_share = 0.0

    def __init__(self, fleet, name, service, zone, address, _behind, kind=""):
        super().__init__(fleet, name, service, zone, address, address, kind)
        self.link, self.silences = NoLink(), random.Random(f"silences {fleet.seed} {name}")

    async def work(self, seconds):
        if self.silences.random() < self.silent_share:
            seconds = self.silences.uniform(*SILENCES_S)
        await asyncio.sleep(seconds)


class RemoteStore:
    """The store of another process, for servers, which only write their entries there."""

    def __init__(self, connection):
        self.connection = connection

    def put(self, key, value):
        self.connection.send((key, value))


def run_servers(connection, arguments):
    """Runs all servers until the other process says so, or has ended, and returns to it what they saw."""

    async def run():
        fleet, stalls, loop = standins.Fleet(RemoteStore(connection), arguments.seed), [], asyncio.get_running_loop()
        ended = asyncio.Event()
        loop.add_reader(connection.fileno(), ended.set)
        await start_fleet(fleet, f"127.{arguments.block}", SilentServer)
        while not ended.is_set():
            before = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            if time.monotonic() > before + 2 * STALL_CHECK_S:
                stalls.append(time.monotonic() - before - STALL_CHECK_S)
        connection.send((fleet.runs, fleet.wrong, sum(stalls)))

    standins.UNFRAMED_SHARE, SilentServer.silent_share = arguments.unframed, arguments.silent
    asyncio.run(run())


class PlannedSoak(Soak):
    """Plays planned work and nothing else."""

    def __init__(self, arguments, folder):
        super().__init__(arguments.seed, arguments.seconds, folder=folder, program=os.path.abspath(arguments.program),
                         mutate="", net=f"127.{arguments.block}", untimed=True, instances=arguments.instances)
        self.arguments, self.configured_at, self.idle_s, self.outcomes = arguments, [], 0, {}
        self.ends, self.terms = [], {}  # ends of calls; by instance: the times of its SIGTERMs
        self.connection, other = multiprocessing.Pipe()
        self.servers = multiprocessing.Process(target=run_servers, args=(other, arguments), daemon=True)
        self.servers.start()
        other.close()
        for instance in self.instances:
            instance.without = arguments.without

    async def start_servers(self):
        asyncio.get_running_loop().add_reader(
            self.connection.fileno(), lambda: self.store.put(*self.connection.recv()))

    def next_configuration(self):
        """Returns a version with many routes that no caller uses, beside those of the soak."""
        configuration = super().next_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = DEADLINE_S * 1000
        route = configuration["routes"][0]
        for number in range(self.arguments.routes):
            configuration["routes"].append(route | {
                "name": f"idle-{number}", "hostname": f"idle{number % IDLE_HOSTS}.example", "prefix": f"/idle-{number}/"})
        if self.arguments.idle:
            limit_ms = self.random.choice(IDLE_LIMITS_MS)
            configuration["limits"]["idle_timeout_ms"], self.idle_s = limit_ms, limit_ms / 1000
        self.configured_at.append(time.monotonic())
        return configuration

    async def call(self, instance, reader, writer, follows):
        if self.idle_s and self.random.random() < 0.3:
            await asyncio.sleep(self.random.random() * IDLE_SHARE * self.idle_s)
        if reader.at_eof():
            return False
        self.attempts += 1
        attempt, events = f"{self.attempts:016x}", self.random.randint(20, 80)
        route = self.random.choice(["draft", "draft", "draft", "once", "book", "look"])
        sent, answer = time.monotonic(), None
        try:
            writer.write((f"POST /{route}/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {attempt}\r\n"
                          f"Authorization: Bearer {key_of(int(attempt, 16))}\r\nX-Deadline-Ms: {DEADLINE_S * 1000}\r\n"
                          f"X-Key: k{attempt}\r\nX-Events: {events}\r\nX-Token-Usage: 100,{events}\r\n{prompt_parts(attempt)}"
                          "Content-Length: 0\r\n\r\n").encode())
            head = await asyncio.wait_for(read_head(reader), DEADLINE_S + 5)
            answer = await asyncio.wait_for(read_body(reader, head), DEADLINE_S + 5) if head else None
        except (asyncio.TimeoutError, ConnectionError):
            pass
        self.ends.append((attempt, route, events, instance, sent, time.monotonic(), answer))
        return bool(answer) and answer.complete and answer.headers.get("connection", "") != "close"

    def outcome_of(self, attempt, instance, sent, ended, answer, runs):
        """Returns how a call ended."""
        if answer and answer.complete:
            if answer.status in (408, 421, 429, 503):
                return REFUSED
            return WHOLE if answer.status == 200 else FAILED
        if not answer and not runs and ended - sent < CROSSED_S:
            return CROSSED
        in_grace = any(sent < term + GRACE_SENT_S and ended > term + GRACE_S * LAST_OF_GRACE
                       for term in self.terms.get(instance.number, []))
        return DUE if in_grace or ended - sent > DUE_SHARE * DEADLINE_S else CUT

    def judge_ends(self, all_runs):
        for attempt, route, events, instance, sent, ended, answer in self.ends:
            runs = all_runs.get(attempt, 0)
            outcome = self.outcome_of(attempt, instance, sent, ended, answer, runs)
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            since = {name: min((sent - each for each in times if each <= sent), default=-1)
                     for name, times in (("a version", self.configured_at), ("SIGTERM", self.terms.get(instance.number, [])))}
            text = (f"{attempt} on {route} at {instance.number}: status {answer.status if answer else None}, "
                    f"{answer.body.count(b'data:') if answer else 'no answer'} of {events} events after {ended - sent:.2f} s, ran "
                    f"{runs} times, sent " + ", ".join(f"{each:.2f} s after {name}" for name, each in since.items() if each >= 0))
            if outcome in (CUT, FAILED):
                self.broken.append((outcome, text))
            if outcome == REFUSED and runs and route in ("book", "once"):
                self.broken.append(("ran and refused", text))

    async def faults(self):
        end, last_term = time.monotonic() + self.seconds, time.monotonic()
        restarts, turn = [], 0
        while time.monotonic() < end:
            await asyncio.sleep(self.arguments.gap * (0.5 + self.random.random()))
            self.configure()
            if self.arguments.hups:
                for instance in self.instances:
                    if instance.calm(STARTED_S):
                        instance.signal(signal.SIGHUP)
            if self.arguments.terms and time.monotonic() > last_term + self.arguments.terms:
                last_term = time.monotonic()
                restarts.append(asyncio.create_task(self.stop_and_restart(self.instances[turn % len(self.instances)])))
                turn += 1
        await asyncio.gather(*restarts)

    async def stop_and_restart(self, instance):
        if instance.process.returncode is not None or instance.term_at is not None:
            return
        instance.term_at = time.monotonic()
        self.terms.setdefault(instance.number, []).append(instance.term_at)
        instance.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(instance.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            instance.send(signal.SIGKILL)
            await instance.process.wait()
        await instance.start()

    async def run(self):
        watch = asyncio.create_task(self.watch_stalls())
        await self.start()
        throttles = []
        if self.arguments.share < 1:
            throttles += [asyncio.create_task(self.throttle(self.arguments.share, each.signal, self.arguments.period)) for each in self.instances]
        if self.arguments.server_share < 1:
            throttles.append(asyncio.create_task(
                self.throttle(self.arguments.server_share, lambda number: os.kill(self.servers.pid, number),
                              self.arguments.period)))
        callers = [asyncio.create_task(self.caller()) for _ in range(self.arguments.callers)]
        await asyncio.sleep(2)
        busy = [multiprocessing.Process(target=compute, args=(self.seconds,), daemon=True)
                for _ in range(self.arguments.busy)]
        for each in busy:
            each.start()
        await self.faults()
        self.stopping = True
        await asyncio.wait(callers, timeout=DEADLINE_S + 5)
        await asyncio.gather(*throttles)
        watch.cancel()
        for each in busy:
            each.join()
        for instance in self.instances:
            if instance.process.returncode is not None:
                self.broken.append(("ended", f"instance {instance.number} ended with {instance.process.returncode}"))
            instance.send(signal.SIGKILL)
            await instance.process.wait()
        asyncio.get_running_loop().remove_reader(self.connection.fileno())
        self.connection.send("end")
        while len(seen := self.connection.recv()) != 3:
            pass
        runs, wrong, self.servers_stood_s = seen
        self.broken += [(promise, text) for promise, _, text in wrong]
        self.servers.join()
        self.judge_ends(runs)
        self.close()
        return self.broken


def main():
    parser = argparse.ArgumentParser(description="planned work alone, with little processor time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--instances", type=int, default=9)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--routes", type=int, default=1400, help="routes that no caller uses")
    parser.add_argument("--gap", type=float, default=0.8, help="mean time between two versions, in seconds")
    parser.add_argument("--share", type=float, default=1.0, help="of each period that an instance may run")
    parser.add_argument("--server-share", type=float, default=1.0, help="of each period that the servers may run")
    parser.add_argument("--period", type=float, default=0.1, help="of the shares, in seconds")
    parser.add_argument("--busy", type=int, default=0, help="processes that only compute")
    parser.add_argument("--silent", type=float, default=0.0, help="share of events before which servers are silent")
    parser.add_argument("--unframed", type=float, default=0.0, help="share of servers that answer without length")
    parser.add_argument("--terms", type=float, default=0.0, help="time between SIGTERMs, of one instance after the other")
    parser.add_argument("--hups", action="store_true", help="each version comes with SIGHUP to all instances")
    parser.add_argument("--idle", action="store_true", help="versions change the idle limit, and callers idle")
    parser.add_argument("--program", default="build/crocusmount-entry")
    parser.add_argument("--without", default="start-admission,group-losses", help="mechanisms that are switched off")
    parser.add_argument("--block", type=int, default=1, help="second number of the loopback addresses, 1 to 254")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f"planned-{arguments.seed}-")
    soak = PlannedSoak(arguments, folder)
    broken = asyncio.run(soak.run())
    stood = sum(until - begin for begin, until in soak.stalls)
    print(f"seed {arguments.seed}: {soak.attempts} requests, {soak.outcomes}, {len(soak.configured_at)} versions, "
          f"{sum(len(each) for each in soak.terms.values())} stops; the servers stood still for {soak.servers_stood_s:.1f} s, the "
          f"callers for {stood:.1f} s (logs: {folder})")
    for promise, text in broken[:20]:
        print(f"  {promise}: {text}")
    if broken:
        print(f"{len(broken)} in all; again: {shlex.join(['python3'] + sys.argv)}")
    print(f"{int(not broken)} passed, {int(bool(broken))} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
