#!/usr/bin/env python3
"""Stops one entry instance as planned, in calm, while callers still know it, and checks how each of their calls ends.

Usage: stops.py [--runs N] [--program FILE] [--block N]

Callers connect and send at set times after the SIGTERM; their runs take a known time. Each connection must be answered:
- answered: a call that is sent within ACCEPTED_S and can end in time is answered with its server's answer
- told: any other call is refused as not run and did not run, or gets a failure of the instance after it was run; a
  stream that is cut off does not look complete
- grace: the process ends within the grace
"""

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402
from httpio import close, read_body, read_head, response  # noqa: E402
from planned import NoLink  # noqa: E402
from soak import GRACE_S, Soak, key_of, prompt_parts, start_fleet  # noqa: E402

PATIENCE_S = 9  # of each caller
ACCEPTED_S = 2.5  # after the SIGTERM, for callers whose directory answer has not lapsed
ENDS_S = 6  # after the SIGTERM; a run that ends before is never cut
FIRST_BYTE_S = 0.03  # from the connection to the request
EVENT_S = 0.02  # between two events of a stream
# When each call is sent, in seconds after the SIGTERM, and how long its run takes. Many new connections come at 2 s.
CALLS = [(0.1, 0.3), (0.1, 5), (1.0, 0.3), (1.0, 7)] + [(2.0, 0.3)] * 10 + [(2.0, 7), (2.4, 3), (2.7, 7), (3.2, 0.3), (5.0, 0.3)]
ROUTES = ["look", "book", "once"]


class WorkingServer(standins.Server):
    """A server whose plain answers take as long as their requests say."""

    def __init__(self, fleet, name, service, zone, address, _behind, kind=""):
        super().__init__(fleet, name, service, zone, address, address, kind)
        self.link = NoLink()

    async def _answer(self, message, writer):
        attempt = message.headers.get("x-attempt-id")
        if attempt is None or self.kind:
            return await super()._answer(message, writer)
        self.fleet.ran(attempt)
        await asyncio.sleep(float(message.headers["x-run-s"]))
        writer.write(response(200, f"plain {message.headers['x-key']}".encode(),
                              {"X-Attempt-Id": attempt, "X-Server-Seal": self.id}))
        return True


class StopSoak(Soak):
    def __init__(self, folder, arguments):
        super().__init__(1, 0, folder=folder, program=os.path.abspath(arguments.program), mutate="",
                         net=f"127.{arguments.block}", untimed=True, instances=1)
        for instance in self.instances:
            instance.without = "start-admission,group-losses"

    async def start_servers(self):
        await start_fleet(self.fleet, self.net, WorkingServer)

    async def send(self, route, term, sent_s, run_s):
        """Connects and sends one request as planned; reports an end that breaks a promise."""
        await asyncio.sleep(term + sent_s - time.monotonic())
        self.attempts += 1
        attempt, answer, text = f"{self.attempts:016x}", None, f"{route}, sent after {sent_s} s, running {run_s} s"
        events = int(run_s / EVENT_S)
        try:
            host, port = self.instances[0].front.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            await asyncio.sleep(FIRST_BYTE_S)
            writer.write((f"POST /{route}/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: {attempt}\r\n"
                          f"Authorization: Bearer {key_of(0)}\r\nX-Deadline-Ms: {PATIENCE_S * 1000}\r\nX-Key: k{attempt}\r\n"
                          f"X-Run-S: {run_s}\r\nX-Events: {events}\r\nX-Token-Usage: 100,{events}\r\n{prompt_parts(attempt)}"
                          "Content-Length: 0\r\n\r\n").encode())
            head = await asyncio.wait_for(read_head(reader), PATIENCE_S)
            answer = await asyncio.wait_for(read_body(reader, head), PATIENCE_S) if head else None
            close(writer)
        except (OSError, asyncio.TimeoutError):
            pass
        ran, took = self.fleet.runs.get(attempt, 0), time.monotonic() - term - sent_s
        text = f"{text}: {answer.start if answer else 'no answer'} after {took:.2f} s, ran {ran} times"
        if sent_s < ACCEPTED_S and sent_s + run_s < ENDS_S and not (answer and answer.complete and answer.status == 200):
            self.report("answered", text)
        elif answer is None or (not answer.complete and route != "once"):
            self.report("told", text)
        elif answer.complete and answer.status == 200 and answer.body.count(b"data:") != (events if route == "once" else 0):
            self.report("told", f"{text}: looks complete")
        elif answer.status == 503 and ran:
            self.report("told", text)
        return text

    async def run(self):
        await self.start()
        await asyncio.sleep(3)
        instance = self.instances[0]
        instance.term_at = time.monotonic()
        instance.send(signal.SIGTERM)
        calls = [self.send(route, instance.term_at, *call) for call in CALLS for route in ROUTES]
        ends = asyncio.gather(*calls)
        try:
            await asyncio.wait_for(instance.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.report("grace", f"still running {GRACE_S} s after the SIGTERM")
            instance.send(signal.SIGKILL)
        await ends
        self.close()
        return self.broken


def main():
    parser = argparse.ArgumentParser(description="a planned stop while callers still come")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--program", default="build/crocusmount-entry")
    parser.add_argument("--block", type=int, default=1, help="second number of the loopback addresses, 1 to 254")
    arguments = parser.parse_args()
    failed = 0
    for _ in range(arguments.runs):
        folder = tempfile.mkdtemp(prefix="stops-")
        broken = asyncio.run(StopSoak(folder, arguments).run())
        for promise, text in broken:
            print(f"  {promise}: {text} (logs: {folder})")
        failed += bool(broken)
    print(f"{arguments.runs - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
