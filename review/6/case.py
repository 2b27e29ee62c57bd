"""ORDER: a stream whose engine has ended in its middle reaches the caller as complete."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import lab as lab_module  # noqa: E402

LAYERS = 8
RESUMABLE = False
EVENT_MS, EVENTS = 100, 80
CUT_S, KILL_AFTER_S, RESTART_AFTER_S = 2.5, 0.8, 1.9


def configuration():
    route = {"name": "r-draft", "hostname": lab_module.HOST, "prefix": "/draft/", "route_type": "streaming",
             "timeout_ms": 20000, "target_latency_ms": 1000, "priority_class": 1, "backend": "model", "max_attempts": 2,
             "anonymous": False, "sticky": True, "resumable": RESUMABLE, "gap_aim_ms": 250}
    return [route], [lab_module.model_service(LAYERS, 2000)]


async def stream(lab, instance):
    part = f"{random.getrandbits(32):08x}"
    headers = {"X-Model": "m0", "X-Token-Usage": f"800,{EVENTS}", "X-Prompt-Prefix": f"5c1e07a2:40,{part}:760"}
    return await lab.call(instance, "POST", "/draft/1", headers, b"x", deadline_ms=20000)


async def scenario(lab, trouble):
    for number in (1, 2, 3):
        lab.add_instance(number, f"zone-{number}")
    lab.hosts = [lab_module.EngineHost(lab, f"e{number}", f"zone-{number}", f"{lab.block}.{50 + number}:8080",
                                       f"{lab.block}.{150 + number}:8080", EVENT_MS) for number in range(1, 6)]
    lab.configure(*configuration())
    for each in lab.hosts:
        await each.start()
    await lab.start_instances()
    end = time.monotonic() + 20
    while any(each.layers != (0, LAYERS) for each in lab.hosts):
        if time.monotonic() > end:
            raise lab_module.CannotRun("the engines were not given their layers")
        await asyncio.sleep(0.1)
    await asyncio.sleep(4)
    calls = [asyncio.create_task(stream(lab, each)) for each in lab.instances for _ in range(8)]
    await asyncio.sleep(2.5)
    broken = lab.hosts[0]
    if not broken.runs:
        raise lab_module.CannotRun("no stream runs on the engine")
    if trouble:
        broken.link.set_mode("silent")
        lab.record.write(f"{broken.id} is partitioned from all machines and the store")
        await asyncio.sleep(KILL_AFTER_S)
        broken.kill()
        await asyncio.sleep(RESTART_AFTER_S - KILL_AFTER_S)
        await broken.start()
        await asyncio.sleep(CUT_S - RESTART_AFTER_S)
        broken.link.set_mode("ok")
        lab.record.write(f"the partition of {broken.id} has healed")
    breaches = []
    for attempt, answer in await asyncio.gather(*calls):
        events = answer.body.count(b"\n\n") if answer else 0
        lab.record.write(f"{attempt}: {events} of {EVENTS} events, {'complete' if answer and answer.complete else 'cut off'}")
        if answer and answer.status == 200 and answer.complete and events < EVENTS:
            breaches.append(f"ORDER: {attempt} ended as complete after {events} of {EVENTS} events")
    return breaches


lab_module.play(os.path.dirname(os.path.abspath(__file__)), scenario)
