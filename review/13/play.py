"""All relays are killed while the store is down, after a target has said that it
leaves; two of the target's earlier heartbeats arrive late."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import BOUNDS, TROUBLE  # noqa: E402

MACHINES = [("a-1", "zone-a", "alpha"), ("b-1", "zone-b", "alpha"),
            ("c-1", "zone-c", "alpha"), ("a-2", "zone-a", "beta")]
DOWN_S, RESTART_S = 3.0, 1.0
# Times at which the two heartbeats arrive, after the DELETE is acknowledged. They
# were sent 1.6 s and 0.1 s before it.
FIRST_LATE_S, SECOND_LATE_S = 2.5, 4.7
# How long the target serves on after its DELETE.
LINGER_S = 14.0


async def play(site):
    store, machines = site.store, site.machines
    await site.open(site.config(
        1, {"orders": ("/orders/", "non_idempotent", "alpha", 3000),
            "reads": ("/reads/", "idempotent", "alpha", 3000)}, ("alpha", "beta")))
    for machine in machines:
        target = site_3.Target(machine, machine.service)
        await target.start()
        site.targets.append(target)
    if not await site.wait_served(machines, "/reads/x"):
        raise site_3.CannotRun("the mesh doesn't serve")
    await asyncio.sleep(4)

    leaving = site.targets[0]
    stopped = False

    async def client(machine):
        while not stopped:
            await site.send(machine, "POST", "/orders/x", b"order")
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(machine)) for machine in machines]
    await asyncio.sleep(1)
    if TROUBLE:
        site.record("store: goes down")
        store.close()
    # The target's last two heartbeats are held up on their way.
    leaving.beats.cancel()
    held_up = [leaving.heartbeat()]
    await asyncio.sleep(site_3.HEARTBEAT_S)
    held_up.append(leaving.heartbeat())
    await asyncio.sleep(0.1)
    leaving.leaving = True
    status = await leaving.call("DELETE")
    if status != 200:
        raise site_3.CannotRun(f"the DELETE is answered {status}")
    acknowledged = time.monotonic()
    site.record(f"target {leaving.id}: its DELETE is acknowledged")

    async def late_heartbeats():
        await asyncio.sleep(FIRST_LATE_S)
        await leaving.deliver_late(held_up[0])
        await asyncio.sleep(SECOND_LATE_S - FIRST_LATE_S)
        await leaving.deliver_late(held_up[1])

    late = asyncio.create_task(late_heartbeats())
    back = time.monotonic()
    if TROUBLE:
        await asyncio.sleep(0.1)
        for machine in machines:
            machine.kill()
        await asyncio.sleep(RESTART_S)
        for machine in machines:
            machine.start()
        await asyncio.sleep(DOWN_S - RESTART_S - site_3.HEARTBEAT_S - 0.2)
        site.record("store: is back")
        await store.open()
        back = time.monotonic()
    await late
    await asyncio.sleep(max(0, acknowledged + LINGER_S - time.monotonic()))
    stopped = True
    await asyncio.gather(*clients)
    leaving.crash()

    # Counted are requests that arrive later than drainMs after the acknowledgement,
    # while all machines have been in touch.
    counted_from = max(acknowledged + BOUNDS["drainMs"] / 1000,
                       back + BOUNDS["stableWindowMs"] / 1000)
    return [f"DRAIN: {attempt} reaches target {leaving.id} {at - acknowledged:.2f} s "
            "after its DELETE was acknowledged"
            for at, attempt in leaving.runs if at > counted_from]


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
