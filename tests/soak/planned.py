#!/usr/bin/env python3
"""Runs entry instances as processes while nothing fails: configurations come in series, and processor time is short.

Usage: planned.py [--seed N] [--seconds N] [--instances N] [--share X] [--busy N] [--unframed X] [--program FILE]

Each call must be answered whole, or refused as not run. An answer that ends early is printed with its seed and the folder
of the instances' logs. Processor time is short in two ways: each instance is stopped for a part of each period of 0.1 s, as
by a quota, and processes that only compute run beside.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402
from httpio import close, read_body, read_head  # noqa: E402
from soak import Soak, key_of, prompt_parts  # noqa: E402

QUOTA_PERIOD_S = 0.1
IDLE_HOSTS, TIMEOUT_MS = 40, 20000
CUT, REFUSED, WHOLE = "cut", "refused", "whole"


def compute(seconds):
    """Uses a processor for a bounded time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(10000))


class PlannedSoak(Soak):
    """Plays configurations in series and nothing else."""

    def __init__(self, arguments, folder):
        super().__init__(arguments.seed, arguments.seconds, folder=folder, program=os.path.abspath(arguments.program),
                         mutate="", net=f"127.{arguments.block}", untimed=True, instances=arguments.instances)
        self.arguments, self.outcomes, self.configured_at = arguments, {}, []
        for instance in self.instances:
            instance.without = arguments.without

    def configure(self):
        """Writes a version with many routes that no caller uses, beside those of the soak."""
        super().configure()
        item = self.store.items["op/config"]
        configuration = json.loads(standins.base64.b64decode(item["value"]))
        for route in configuration["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        for number in range(self.arguments.routes):
            configuration["routes"].append(route | {
                "name": f"idle-{number}", "hostname": f"idle{number % IDLE_HOSTS}.example", "prefix": f"/idle-{number}/"})
        self.store.put("op/config", json.dumps(configuration))
        self.configured_at.append(time.monotonic())

    async def call(self, instance, reader, writer, follows):
        self.attempts += 1
        attempt, events = f"{self.attempts:016x}", self.random.randint(20, 80)
        route = self.random.choice(["draft", "draft", "draft", "once", "book", "look"])
        writer.write((f"POST /{route}/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {attempt}\r\n"
                      f"Authorization: Bearer {key_of(int(attempt, 16))}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\nX-Key: k{attempt}\r\n"
                      f"X-Events: {events}\r\nX-Token-Usage: 100,{events}\r\n{prompt_parts(attempt)}"
                      "Content-Length: 0\r\n\r\n").encode())
        sent = time.monotonic()
        try:
            head = await asyncio.wait_for(read_head(reader), 25)
            answer = await asyncio.wait_for(read_body(reader, head), 25) if head else None
        except (asyncio.TimeoutError, ConnectionError):
            answer = None
        outcome = WHOLE if answer and answer.complete and answer.status == 200 else CUT
        if answer and answer.complete and answer.status in (408, 429, 503):
            outcome = REFUSED
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome == CUT:
            status = answer.status if answer else None
            found = f"{len(answer.body)} bytes" if answer else "no answer"
            after = min((sent - each for each in self.configured_at if each <= sent), default=-1)
            ran = self.fleet.runs.get(attempt, 0)
            self.broken.append(("lost", f"{attempt} on {route} at {instance.number}: status {status}, {found} of {events} events "
                                f"after {time.monotonic() - sent:.2f} s, ran {ran} times, sent {after:.2f} s after a version"))
        return bool(answer) and answer.complete and answer.headers.get("connection", "") != "close"

    async def faults(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.arguments.gap * (0.5 + self.random.random()))
            self.configure()

    async def throttle(self, instance, offset):
        """Lets an instance run for its share of each period."""
        run_s = QUOTA_PERIOD_S * self.arguments.share
        await asyncio.sleep(offset)
        while not self.stopping:
            instance.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(QUOTA_PERIOD_S - run_s)
            instance.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(run_s)

    async def run(self):
        watch = asyncio.create_task(self.watch_stalls())
        await self.start()
        throttles = []
        if self.arguments.share < 1:
            throttles = [asyncio.create_task(self.throttle(each, QUOTA_PERIOD_S * self.random.random()))
                         for each in self.instances]
        callers = [asyncio.create_task(self.caller()) for _ in range(self.arguments.callers)]
        await asyncio.sleep(2)
        busy = [multiprocessing.Process(target=compute, args=(self.seconds,)) for _ in range(self.arguments.busy)]
        for each in busy:
            each.start()
        await self.faults()
        self.stopping = True
        await asyncio.wait(callers, timeout=25)
        await asyncio.gather(*throttles)
        watch.cancel()
        for each in busy:
            each.join()
        for instance in self.instances:
            if instance.process.returncode is not None:
                self.broken.append(("ended", f"instance {instance.number} ended with {instance.process.returncode}"))
            instance.send(signal.SIGKILL)
            await instance.process.wait()
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
    parser.add_argument("--share", type=float, default=1.0, help="of each 0.1 s that an instance may run")
    parser.add_argument("--busy", type=int, default=0, help="processes that only compute")
    parser.add_argument("--unframed", type=float, default=0.0, help="share of servers that answer without length")
    parser.add_argument("--program", default="build/crocusmount-entry")
    parser.add_argument("--without", default="start-admission,group-losses", help="mechanisms that are switched off")
    parser.add_argument("--block", type=int, default=1, help="second number of the loopback addresses, 1 to 254")
    arguments = parser.parse_args()
    standins.UNFRAMED_SHARE = arguments.unframed
    folder = tempfile.mkdtemp(prefix=f"planned-{arguments.seed}-")
    soak = PlannedSoak(arguments, folder)
    broken = asyncio.run(soak.run())
    stood = sum(until - begin for begin, until in soak.stalls)
    print(f"seed {arguments.seed}: {soak.attempts} requests, {soak.outcomes}, {len(soak.configured_at)} versions, the servers "
          f"stood still for {stood:.1f} s (logs: {folder})")
    for promise, text in broken[:20]:
        print(f"  {promise}: {text}")
    print(f"{int(not broken)} passed, {int(bool(broken))} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
