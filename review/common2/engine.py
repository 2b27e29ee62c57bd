"""A model engine as a process of its own, so that its end is the end of a process. Prints what it does as JSON lines.

Usage: engine.py ADDRESS ID EVENT_MS

Its streams have no length and end with their connection.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab  # noqa: E402

LOAD_S = float(os.environ.get("LOAD_S", "0.2"))


def tell(**what):
    print(json.dumps(what), flush=True)


class Engine:
    def __init__(self, address, identity, event_s):
        self.address, self.id, self.event_s, self.layers, self.orders = address, identity, event_s, (0, 0), 0

    async def handle(self, message, writer):
        target = message.start.split(" ")[1]
        if target == "/crocusmount/report":
            held = {"from": self.layers[0], "target": self.layers[1], "version": 1}
            writer.write(lab.json_response(200, {
                "stage": "unified", "models": [{"name": "m0", "version": 1, "adapters": []}], "busy": False,
                "seq": self.orders, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "pace": 1.0,
                "stalled": [], "layers": held}))
            return True
        if target == "/crocusmount/order":
            return self.order(json.loads(message.body), writer)
        if target == "/health":
            writer.write(lab.response(200, b"", {"X-Instance-Id": self.id}))
            return True
        return await self.stream(message, writer)

    def order(self, order, writer):
        if order["operation"] != "place":
            writer.write(lab.response(404))
            return True
        self.orders += 1
        tell(what="order", begin=order["from"], end=order["target"])
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, (order["from"], order["target"]))
        writer.write(lab.response(202))
        return True

    def loaded(self, layers):
        self.layers = layers
        tell(what="layers", begin=layers[0], end=layers[1], seq=self.orders)

    async def stream(self, message, writer):
        attempt = message.headers.get("x-attempt-id", "")
        status = 421 if message.headers.get("x-expect-instance", self.id) != self.id else 200
        # It is the first part of the path. What the other parts hold is left to them.
        address, _, span = message.headers.get("x-hop-count", "").split(",")[0].partition("=")
        begin, end = (int(each) for each in span.split("-")) if span else (0, 0)
        if not span or address != self.address or begin < self.layers[0] or end > self.layers[1]:
            status = 421
        if status != 200:
            writer.write(lab.response(status, b"", {"X-Not-Executed": "1", "X-Attempt-Id": attempt,
                                                    "At-Server": self.address}))
            return True
        tell(what="runs", attempt=attempt)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Server-Seal: {self.id}\r\nX-Weight-Versions: 1\r\n\r\n").encode())
        events = int(message.headers["x-token-usage"].split(",")[1])
        for number in range(int(message.headers.get("last-event-id", "0")) + 1, events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                tell(what="left", attempt=attempt)
                return False
            writer.write(f"id: {number}\ndata: {attempt} {number}\n\n".encode())
            await writer.drain()
        tell(what="done", attempt=attempt)
        return False


async def main():
    address, identity, event_ms = sys.argv[1], sys.argv[2], int(sys.argv[3])
    engine = Engine(address, identity, event_ms / 1000)
    # Its address in chains is the one at which it is reached, before the link.
    engine.address = os.environ.get("REACHED_AT", address)
    server = await lab.serve(address, engine.handle)
    tell(what="listens")
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
