"""DRAIN: a leaving that was acknowledged while the store is down is forgotten."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s  # noqa: E402

# Seconds after the store goes down; the variable is for trials.
STORE_DOWN_S, LEAVE_AT_S = 4.5, 0.5
KILL_AT_S = float(os.environ.get("KILL_AT_S", "4.3"))
RESTART_S, LINGER_S = 0.5, 15.0


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
    targets = [s.Target(m.name, m.service, m, record, work)
               for m in mesh.machines]
    await mesh.wait_until_ready()
    for target in targets:
        await target.start()
    await asyncio.sleep(2.0)
    statuses = {}
    ended = asyncio.Event()

    async def client(number):
        n = 0
        while not ended.is_set():
            n += 1
            write = n % 2 == 0
            attempt = f"c{number}-{n}"
            machine = mesh.machines[(number + n) % len(mesh.machines)]
            statuses[attempt] = await s.request(
                machine, record, "POST" if write else "GET",
                f"/{'w' if write else 'r'}/{attempt}", attempt, 5000,
                b"x" if write else b"")
            await asyncio.sleep(random.uniform(0.02, 0.2))

    async def store_outage():
        mesh.store.set_down(True)
        await asyncio.sleep(STORE_DOWN_S)
        mesh.store.set_down(False)

    async def herd_kill():
        await asyncio.sleep(KILL_AT_S)
        for machine in mesh.machines:
            machine.process.kill()
        for machine in mesh.machines:
            machine.end(signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for machine in mesh.machines:
            machine.start()

    clients = [asyncio.create_task(client(n)) for n in range(6)]
    await asyncio.sleep(3.5)
    disruption_end = time.monotonic()
    troubles = [asyncio.create_task(t()) for t in (store_outage, herd_kill) if trouble]
    await asyncio.sleep(LEAVE_AT_S)
    leaver = targets[0]
    acked_at = await leaver.leave()
    if troubles:
        await asyncio.gather(*troubles)
        disruption_end = time.monotonic()
    # From here on the core is stable and all machines are in touch.
    judged_from = max(acked_at + s.DRAIN_S, disruption_end + s.STABLE_WINDOW_S)
    await asyncio.sleep(max(0, acked_at + LINGER_S - time.monotonic()))
    ended_at = time.monotonic()
    lost = await leaver.stop("has left, 15 s after its DELETE was acknowledged")
    await asyncio.sleep(1.5)
    ended.set()
    await asyncio.gather(*clients)
    late = [a for at, a, _ in leaver.arrivals if judged_from < at < ended_at]
    served = sum(status == 200 for status in statuses.values())
    record(f"{len(statuses)} requests, {served} served; {len(late)} reached "
           f"{leaver.name} more than {s.DRAIN_S} s after the acknowledgement, by "
           f"machines in touch, the first: {late[:3]}; at its end it was at work on "
           f"{lost}, whose clients got {[statuses.get(a) for a in lost]}")
    if served < len(statuses) / 4:
        raise s.CannotRun("too few requests were served")
    return not late


s.run_case(pathlib.Path(__file__).parent, main)
