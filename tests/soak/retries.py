#!/usr/bin/env python3
"""Runs entry instances as processes while servers fail in waves, and checks what the servers receive again.

Usage: retries.py [--seeds FIRST-LAST] [--waves N] [--instances N] [--callers N] [--share X] [--wave NAME]
           [--unnamed-starts] [--restart-s X] [--entry-s X] [--program FILE]

Before each wave the instances run undisturbed until their retry budgets are full. During it nearly all runs fail, and
instances are killed together or in turn, stopped, paused, or the store is silent. In some waves servers ask for times
without requests instead, or end by requests. With a share below 1, each instance is stopped for a part of each period, as
by a quota. Checked is, for all instances together:
- budget: in any WINDOW_S, a service receives no more requests beyond their first arrival than RATIO of its requests, which
  count in that window or up to one before it, and SLACK
- attempts: no request runs on more servers, which have not ended, than its route allows
- deadline: each server is told of a deadline, of which no more is left than the caller has, but for DEADLINE_TOLERANCE_S
- backoff: servers that asked an instance for a time without requests get next to none from it, as in soak.py
- quarantine: requests, and prompts with a part, that end servers are soon sent to none, as in soak.py
"""

import argparse
import asyncio
import bisect
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402
from httpio import close, read_body, read_head, response  # noqa: E402
from soak import GRACE_S, Soak, key_of, prompt_parts, start_fleet  # noqa: E402

RATIO, SLACK, WINDOW_S = 0.2, 200, 10  # as in the instances' settings
MAX_ATTEMPTS = 2  # of each route
DEADLINE_TOLERANCE_S = 0.5
FILL_S = 14  # until the budget of an instance that has started is full
WAVE_S = 12
FAILURE_RATE = 0.95
NO_DEADLINE_MS = 10 ** 9  # stands for a missing deadline
SERVICES = {"look": "plain", "draft": "model"}
DEADLINES_MS = {"look": 1000, "draft": 6000}


class FailingServer(standins.Server):
    """A server whose runs fail while the fleet's failure rate is not 0."""

    arrival = 0  # number of the request that it reads, in the fleet's list

    def _check_chain(self, text):
        status, culprit = super()._check_chain(text)
        if status != 200:
            self.fleet.rejected.add(self.arrival)
        return status, culprit

    def _reject(self, writer, attempt):
        self.fleet.rejected.add(self.arrival)
        return super()._reject(writer, attempt)

    async def crash(self, *arguments):
        self.fleet.ended.add(self.start_key)
        await super().crash(*arguments)

    async def _answer(self, message, writer):
        attempt = message.headers.get("x-attempt-id")
        if attempt is None:
            return await super()._answer(message, writer)
        fails = not self.retry_after_s and self.draws.random() < self.fleet.failure_rate
        remaining_s = int(message.headers.get("x-deadline-ms", NO_DEADLINE_MS)) / 1000
        self.arrival = len(self.fleet.received)
        self.fleet.received.append((time.monotonic(), self.service, attempt, self.start_key, remaining_s, fails))
        if message.headers.get("x-expect-instance", self.id) != self.id:
            fails = False
            self.fleet.rejected.add(self.arrival)
        if not fails:
            return await super()._answer(message, writer)
        writer.write(response(500, b"failed", {"X-Attempt-Id": attempt, "X-Server-Seal": self.id}))
        return True


def count_between(times, begin, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


class RetrySoak(Soak):
    def __init__(self, seed, arguments, folder):
        super().__init__(seed, 0, folder=folder, program=os.path.abspath(arguments.program), mutate=arguments.mutate,
                         net=f"127.{arguments.block}", untimed=False, instances=arguments.instances,
                         names_starts=not arguments.unnamed_starts)
        self.fleet.restart_delay_s, self.fleet.entry_delay_s = arguments.restart_s, arguments.entry_s
        self.only = arguments.wave
        self.waves, self.callers, self.draws = arguments.waves, arguments.callers, random.Random(f"waves {seed}")
        self.share = arguments.share
        # Attempt: (service, time sent, seconds that the caller waits).
        # Rejected: numbers of the received requests that did not run. Ended: starts of servers.
        self.fleet.failure_rate, self.fleet.received, self.requests, self.log = 0, [], {}, []
        self.fleet.rejected, self.fleet.ended = set(), set()
        for instance in self.instances:
            instance.without = "start-admission,group-losses"

    async def start_servers(self):
        await start_fleet(self.fleet, self.net, FailingServer)

    async def call(self, instance, reader, writer, follows):
        self.attempts += 1
        attempt, route = f"{self.attempts:016x}", self.random.choice(["look", "draft"])
        sent, patience_s = time.monotonic(), DEADLINES_MS[route] / 1000
        self.requests[attempt] = (SERVICES[route], sent, patience_s)
        self.instance_of[attempt], self.sent_at[attempt], self.deadlines_s[attempt] = instance, sent, patience_s
        try:
            writer.write((f"POST /{route}/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {attempt}\r\n"
                          f"Authorization: Bearer {key_of(int(attempt, 16))}\r\nX-Deadline-Ms: {DEADLINES_MS[route]}\r\n"
                          f"X-Key: k{attempt}\r\nX-Events: 5\r\nX-Token-Usage: 100,5\r\n{prompt_parts(attempt)}"
                          "Content-Length: 0\r\n\r\n").encode())
            head = await asyncio.wait_for(read_head(reader), 9)
            answer = await asyncio.wait_for(read_body(reader, head), 9) if head else None
        except (asyncio.TimeoutError, ConnectionError):
            return False
        return bool(answer) and answer.complete and answer.headers.get("connection", "") != "close"

    # ---- Trouble during a wave ------------------------------------------------------------------------------------

    async def kill_instance(self, instance):
        if instance.process.returncode is None and instance.term_at is None:
            instance.term_at = 0
            instance.send(signal.SIGKILL)
            await self.restart(instance)

    async def kill_all(self):
        """Kills all instances when they have spent their budgets, and in half of the waves again."""
        await asyncio.sleep(1.5 + self.draws.random() * 2)
        for _ in range(self.draws.randint(1, 2)):
            await asyncio.gather(*(self.kill_instance(each) for each in self.instances))
            await asyncio.sleep(2 + self.draws.random() * 3)

    async def kill_in_turn(self):
        end, turn = time.monotonic() + WAVE_S, 0
        while time.monotonic() < end:
            await self.kill_instance(self.instances[turn % len(self.instances)])
            await asyncio.sleep(self.draws.random())
            turn += 1

    async def stop_in_turn(self):
        for instance in self.instances:
            instance.term_at = time.monotonic()
            instance.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(instance.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                instance.send(signal.SIGKILL)
            await self.restart(instance)

    async def pause_some(self):
        end = time.monotonic() + WAVE_S
        while time.monotonic() < end:
            instance = self.draws.choice(self.instances)
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(self.draws.random() * 2)
            instance.signal(signal.SIGCONT)
            await asyncio.sleep(self.draws.random())

    async def kill_while_the_store_is_silent(self):
        self.store.mode = "silent"
        await self.kill_all()
        await asyncio.sleep(2)
        self.store.mode = "ok"

    async def servers_ask_for_rest(self):
        """Lets servers ask for times without requests, while half of the runs at the others fail."""
        self.fleet.failure_rate, self.seconds = FAILURE_RATE / 2, WAVE_S
        await asyncio.gather(self.notices(), self.notices())

    async def servers_end_by_requests(self):
        """Sends requests, and prompts with a part, that end servers. Other runs do not fail."""
        self.fleet.failure_rate, self.seconds = 0, WAVE_S
        await asyncio.gather(self.crashing(self.draws), self.crashing_parts())

    async def run(self):
        watch = asyncio.create_task(self.watch_stalls())
        await self.start()
        throttles = [asyncio.create_task(self.throttle(self.share, each.signal)) for each in self.instances
                     if self.share < 1]
        callers = [asyncio.create_task(self.caller()) for _ in range(self.callers)]
        kinds = [self.kill_all, self.kill_in_turn, self.stop_in_turn, self.pause_some,
                 self.kill_while_the_store_is_silent, self.servers_ask_for_rest, self.servers_end_by_requests]
        kinds = [each for each in kinds if self.only in ("", each.__name__)]
        first = self.draws.randrange(len(kinds))
        for wave in range(self.waves):
            await asyncio.sleep(FILL_S)
            trouble = kinds[(first + wave) % len(kinds)]
            self.log.append((time.monotonic(), trouble.__name__))
            self.fleet.failure_rate = FAILURE_RATE
            await asyncio.gather(trouble(), asyncio.sleep(WAVE_S))
            self.fleet.failure_rate = 0
        self.stopping = True
        await asyncio.wait(callers, timeout=12)
        await asyncio.gather(*throttles)
        watch.cancel()
        for instance in self.instances:
            if instance.process.returncode is not None:
                self.report("ended", f"instance {instance.number} ended with {instance.process.returncode}")
            instance.send(signal.SIGKILL)
            await instance.process.wait()
        self.judge_budgets()
        self.judge_attempts()
        self.judge_deadlines()
        self.judge_backoffs()
        self.judge_crashing()
        self.close()
        return self.broken

    # ---- What servers received ------------------------------------------------------------------------------------

    def trouble_at(self, when):
        return next((name for at, name in reversed(self.log) if at <= when), "nothing")

    def repeats_of(self, service):
        """Returns the times at which the service received requests that it had received before."""
        seen, repeats = set(), []
        for at, receiver, attempt, _, _, _ in self.fleet.received:
            if receiver == service and attempt in seen:
                repeats.append(at)
            seen.add(attempt)
        return repeats

    def judge_budgets(self):
        self.tightest = {}
        for service in SERVICES.values():
            sent = sorted(at for receiver, at, _ in self.requests.values() if receiver == service)
            repeats = self.repeats_of(service)
            room = []
            for begin in repeats:
                most = max(count_between(sent, begin - back, begin - back + WINDOW_S) for back in (0, WINDOW_S / 2, WINDOW_S))
                room.append((RATIO * most + SLACK - count_between(repeats, begin, begin + WINDOW_S), begin, most))
            if not room:
                continue
            left, begin, most = min(room)
            allowed = RATIO * most + SLACK
            self.tightest[service] = f"{allowed - left:.0f} of {allowed:.0f} ({self.trouble_at(begin)})"
            if left < 0:
                self.report("budget", f"{service} received {allowed - left:.0f} repeats in {WINDOW_S} s, allowed {allowed:.0f}, "
                            f"during {self.trouble_at(begin)}")

    def judge_attempts(self):
        ran_on = {}
        for number, (_, _, attempt, start, _, _) in enumerate(self.fleet.received):
            if number not in self.fleet.rejected and start not in self.fleet.ended:
                ran_on.setdefault(attempt, set()).add(start)
        for attempt, starts in ran_on.items():
            if len(starts) > MAX_ATTEMPTS:
                self.report("attempts", f"{attempt} ran on {len(starts)} servers")

    def judge_deadlines(self):
        for at, _, attempt, start, remaining_s, _ in self.fleet.received:
            if attempt not in self.requests:
                continue  # of send_crashing()
            _, sent, patience_s = self.requests[attempt]
            late_s = at + remaining_s - (sent + patience_s)
            stood_s = at - sent - self.time_awake(sent, at)
            if late_s > DEADLINE_TOLERANCE_S + stood_s:
                self.report("deadline", f"{attempt} reached {start[0]} with {late_s:.2f} s more than its caller waits")


async def run_seed(seed, arguments):
    folder = tempfile.mkdtemp(prefix=f"retries-{seed}-")
    soak = RetrySoak(seed, arguments, folder)
    broken = await soak.run()
    tightest = ", ".join(f"{service} {text}" for service, text in soak.tightest.items())
    ends = [len(times) for times in soak.fleet.crashed.values()]
    stood = sum(until - begin for begin, until in soak.stalls)
    print(f"seed {seed}: {soak.attempts} requests; most repeats in {WINDOW_S} s: {tightest}; servers ended by one cause: {ends}; the checker stood still for "
          f"{stood:.1f} s; {len(broken)} broken promises", flush=True)
    for promise, text in broken[:10]:
        print(f"  {promise}: {text} (logs: {folder})", flush=True)
    return len(broken)


def main():
    parser = argparse.ArgumentParser(description="retries of all instances while servers fail in waves")
    parser.add_argument("--seeds", default="1-1", help="first and last seed")
    parser.add_argument("--waves", type=int, default=5, help="waves of failures in each run")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--share", type=float, default=1.0, help="of each tenth of a second that an instance may run")
    parser.add_argument("--wave", default="", help="the only kind of wave, by the name of its method")
    parser.add_argument("--unnamed-starts", action="store_true", help="servers take a new id at each start and do not publish when they started")
    parser.add_argument("--restart-s", type=float, default=1.5, help="from the end of a server under a request to its next start")
    parser.add_argument("--entry-s", type=float, default=0, help="from that start to its entry in the store")
    parser.add_argument("--mutate", default="", help="breaks one promise on purpose, as in soak.py: backoff, crashes")
    parser.add_argument("--program", default="build/crocusmount-entry")
    parser.add_argument("--block", type=int, default=1, help="second number of the loopback addresses, 1 to 254")
    arguments = parser.parse_args()
    first, last = (int(each) for each in arguments.seeds.split("-"))
    failed = sum(asyncio.run(run_seed(seed, arguments)) > 0 for seed in range(first, last + 1))
    print(f"{last + 1 - first - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
