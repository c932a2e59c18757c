"""A target says that it leaves to a relay that has just been restarted, as planned,
and has not heard of the target yet; the relay is restarted once more."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import BOUNDS, TROUBLE  # noqa: E402

MACHINES = [("a-1", "zone-a", "alpha"), ("b-1", "zone-b", "alpha"),
            ("c-1", "zone-c", "alpha"), ("a-2", "zone-a", "beta")]
RESTART_S = 0.3
# When the two heartbeats arrive that were sent 1.5 s and 0.1 s before the DELETE.
FIRST_LATE_S, SECOND_LATE_S = 3.2, 5.4
LINGER_S = 13.0


async def restart(site, machine):
    """A planned restart: SIGTERM, SIGKILL after graceS, and a start."""
    machine.wanted = False
    machine.process.send_signal(signal.SIGTERM)
    site.record(f"platform: {machine.name}: SIGTERM")
    stop_by = time.monotonic() + BOUNDS["graceS"]
    while machine.process.poll() is None and time.monotonic() < stop_by:
        await asyncio.sleep(0.01)
    if machine.process.poll() is None:
        machine.kill()
    site.record(f"platform: {machine.name}: the process has ended")
    await asyncio.sleep(RESTART_S)
    machine.start()
    return time.monotonic()


async def play(site):
    machines = site.machines
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

    home, leaving = machines[0], site.targets[0]
    stopped = False

    async def client(machine):
        while not stopped:
            await site.send(machine, "POST", "/orders/x", b"order")
            await asyncio.sleep(0.05)

    # The clients of the restarted machine have left it; those of the others go on.
    clients = [asyncio.create_task(client(machine)) for machine in machines[1:]]
    await asyncio.sleep(1)
    leaving.beats.cancel()
    started = time.monotonic()
    if TROUBLE:
        await restart(site, home)
        await asyncio.sleep(0.1)
    # Two heartbeats are held up on their way, the second one sent just before DELETE.
    held_up = [leaving.heartbeat()]
    await asyncio.sleep(1.4)
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
    if TROUBLE:
        await asyncio.sleep(0.1)
        started = await restart(site, home)
    await late
    await asyncio.sleep(max(0, acknowledged + LINGER_S - time.monotonic()))
    stopped = True
    await asyncio.gather(*clients)
    leaving.crash()

    # Counted are requests that arrive later than drainMs after the acknowledgement,
    # when the restarted machine is in touch again.
    counted_from = max(acknowledged + BOUNDS["drainMs"] / 1000,
                       started + BOUNDS["stableWindowMs"] / 1000)
    return [f"DRAIN: {attempt} reaches target {leaving.id} {at - acknowledged:.2f} s "
            "after its DELETE was acknowledged"
            for at, attempt in leaving.runs if at > counted_from]


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
