"""DRAIN: a target that starts again after its clock was set back is never heard."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s  # noqa: E402

CLOCK_STEP_MS = 2400
LINGER_S = 6.0


def work(path, attempt):
    return 0.5 if path.startswith("/w/") else 0.1


async def main(record, trouble):
    mesh = s.Mesh(record, ["orders", "orders", "front"])
    mesh.write_config({
        "r": {"pathPrefix": "/r/", "kind": "idempotent", "timeoutMs": 800,
              "service": "orders"},
        "w": {"pathPrefix": "/w/", "kind": "non_idempotent", "timeoutMs": 1000,
              "service": "orders"}})
    try:
        return await play(mesh, record, trouble)
    finally:
        mesh.close()


async def play(mesh, record, trouble):
    await mesh.start()
    targets = [s.Target(m.name, m.service, m, record, work) for m in mesh.machines]
    leaver = targets[0]
    await mesh.wait_until_ready()
    for target in targets:
        await target.start()
    await asyncio.sleep(3.0)
    ended = asyncio.Event()
    statuses = {}

    async def client(number):
        n = 0
        while not ended.is_set():
            n += 1
            write = n % 2 == 0
            attempt = f"c{number}-{n}"
            statuses[attempt] = await s.request(
                mesh.machines[(number + n) % 3], record, "POST" if write else "GET",
                f"/{'w' if write else 'r'}/{attempt}", attempt, 5000,
                b"x" if write else b"")
            await asyncio.sleep(random.uniform(0.02, 0.2))

    clients = [asyncio.create_task(client(n)) for n in range(6)]
    # The target goes down and up by turns, under the same id. The clock of its
    # machine is ahead at the first start and has jumped back at the second.
    await asyncio.sleep(1.0)
    for step_ms in (CLOCK_STEP_MS if trouble else 0, 0):
        await leaver.stop("crash")
        await asyncio.sleep(0.8)
        record(f"the clock of {leaver.name}'s machine is {step_ms} ms ahead")
        await leaver.start("i-leaver", int(time.time() * 1000) + step_ms)
        await asyncio.sleep(0.7)
    # All is calm for longer than the stable window.
    await asyncio.sleep(s.STABLE_WINDOW_S + 2.0)
    leaver.state = "draining"
    while await leaver.beat_once() != 200:
        await asyncio.sleep(0.2)
    acked_at = time.monotonic()
    record(f"target {leaver.name}: draining is acknowledged")
    await asyncio.sleep(LINGER_S)
    ended_at = time.monotonic()
    status = await leaver.call_control("DELETE")
    record(f"target {leaver.name}: DELETE gets {status}")
    lost = await leaver.stop("has left")
    await asyncio.sleep(1.5)
    ended.set()
    await asyncio.gather(*clients)
    late = [a for at, a, _ in leaver.arrivals
            if acked_at + s.DRAIN_S < at < ended_at]
    served = sum(status == 200 for status in statuses.values())
    record(f"{len(statuses)} requests, {served} served; {len(late)} reached "
           f"{leaver.name} more than {s.DRAIN_S} s after the acknowledgement, the "
           f"first: {late[:3]}; at its end it was at work on {lost}, whose clients "
           f"got {[statuses.get(a) for a in lost]}")
    if served < len(statuses) / 4:
        raise s.CannotRun("too few requests were served")
    return not late


s.run_case(pathlib.Path(__file__).parent, main)
