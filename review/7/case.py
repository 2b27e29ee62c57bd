"""DRAIN: an instance that took another one's copy of the store goes on sending requests to a server that has left."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import lab as lab_module  # noqa: E402

FIRST_CUT_S, SECOND_CUT_S = 2.5, 2.5
DRAIN_S = lab_module.BOUNDS["drain_ms"] / 1000
STABLE_S = lab_module.BOUNDS["stable_window_ms"] / 1000
SERVES_ON_S = 12.0  # the leaving server goes on serving for this time, and then exits


def configuration():
    route = {"name": "r-book", "hostname": lab_module.HOST, "prefix": "/book/", "route_type": "non_idempotent",
             "timeout_ms": 3000, "target_latency_ms": 150, "priority_class": 2, "backend": "plain",
             "max_attempts": 1, "anonymous": False, "sticky": False}
    service = {"name": "plain", "health_check": "/health", "max_connections": 48, "protocol": "h1", "tls": False}
    return [route], [service]


async def send_for(lab, instance, seconds, sent):
    """Sends a request every 50 ms, and notes when and through which machine."""
    calls, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        calls.append(asyncio.create_task(send_one(lab, instance, sent)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


async def send_one(lab, instance, sent):
    at = time.monotonic()
    attempt, answer = await lab.call(instance, "POST", "/book/1", body=b"x")
    sent[attempt] = (at, instance, answer)


async def scenario(lab, trouble):
    first, _, third = (lab.add_instance(number, f"zone-{number}") for number in (1, 2, 3))
    servers = [lab_module.PlainServer(lab, f"p{number}", f"zone-{number}", f"{lab.block}.{50 + number}:8080", 0.03)
               for number in (1, 2, 3)]
    lab.configure(*configuration())
    for each in servers:
        await each.start()
    await lab.start_instances(lab.instances[1:])
    await asyncio.sleep(3)
    await lab.start_instances([first])
    await asyncio.sleep(5)
    sent = {}
    await asyncio.gather(*(send_for(lab, each, 1, sent) for each in lab.instances))
    if any(answer is None or answer.status != 200 for _, _, answer in sent.values()):
        raise lab_module.CannotRun("not all requests of the calm time were served")
    leaving = servers[2]

    if trouble:
        lab.record.write(f"{first.name} is partitioned from the store")
        first.link.set_mode("silent")
    await asyncio.sleep(FIRST_CUT_S)
    first.link.set_mode("ok")
    healed_at = time.monotonic()
    lab.record.write(f"{first.name} reaches the store again")
    while trouble and first.link.last_answer < healed_at:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    if trouble:
        lab.record.write(f"{third.name} is partitioned from the store")
        third.link.set_mode("silent")
    await asyncio.sleep(0.4)
    left_at = time.monotonic()
    lab.store.remove(f"servers/{leaving.id}")
    lab.record.write(f"{leaving.id} leaves by plan: its entry is removed, and it serves on for {SERVES_ON_S:.0f} s")
    await asyncio.sleep(SECOND_CUT_S - 0.4)
    third.link.set_mode("ok")
    in_touch_at = time.monotonic() + STABLE_S
    lab.record.write(f"{third.name} reaches the store again")

    await asyncio.sleep(STABLE_S + 0.5)
    await asyncio.gather(*(send_for(lab, each, 3, sent) for each in lab.instances))
    await asyncio.sleep(max(0, left_at + SERVES_ON_S - time.monotonic()))
    leaving.listener.close()
    lab.record.write(f"{leaving.id} exits")

    late = [(at, attempt) for at, attempt in leaving.arrivals if at > left_at + DRAIN_S and sent[attempt][0] > in_touch_at]
    return [f"DRAIN: {attempt} reached {leaving.id} {at - left_at:.1f} s after the store had acknowledged that it is gone, "
            f"sent by {sent[attempt][1].name}, in touch for {sent[attempt][0] - in_touch_at:.1f} s"
            for at, attempt in late]


lab_module.play(os.path.dirname(os.path.abspath(__file__)), scenario)
