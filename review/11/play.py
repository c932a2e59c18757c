"""The store is restored from a copy and the operator changes the configuration."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import BOUNDS, TROUBLE  # noqa: E402

MACHINES = [("a-1", "zone-a", "alpha"), ("b-1", "zone-b", "alpha"),
            ("a-2", "zone-a", "beta"), ("b-2", "zone-b", "beta")]
COPY_AGE_S, AWAY_S = 3.0, 2.0
# Requests are judged from the time at which the machines are in touch and the new
# version binds, with the stretch for an unstable core on top.
JUDGED_FROM_S = (BOUNDS["configApplyMs"] + BOUNDS["stableWindowMs"]
                 + BOUNDS["maxStretchMs"]) / 1000
JUDGED_FOR_S = 20


def routes(service, extra):
    table = {"reads": ("/reads/", "idempotent", service, 3000)}
    if extra:
        table["added"] = ("/added/", "idempotent", "beta", 3000)
    return table


async def play(site):
    services = ("alpha", "beta")
    await site.open(site.config(1, routes("alpha", False), services))
    for machine in site.machines:
        target = site_3.Target(machine, machine.service)
        await target.start()
        site.targets.append(target)
    if not await site.wait_served(site.machines, "/reads/x"):
        raise site_3.CannotRun("the mesh doesn't serve")
    await asyncio.sleep(4)

    copy = site.store.copy()
    await asyncio.sleep(0.5)
    # A target crashes and starts again under its id, so its machine's relay writes.
    site.targets[3].crash()
    await asyncio.sleep(0.5)
    await site.targets[3].start(same_id=True)
    await asyncio.sleep(1)
    site.store.operate(site.config(2, routes("alpha", False), services))
    await asyncio.sleep(COPY_AGE_S - 2)
    if TROUBLE:
        site.record("store: goes away")
        site.store.close()
        await asyncio.sleep(AWAY_S)
        site.store.restore(copy)
    # The operator's next change, which is written as soon as the store is there.
    site.store.operate(site.config(5, routes("beta", True), services))
    acknowledged = time.monotonic()
    if TROUBLE:
        await site.store.open()

    violations = []
    await asyncio.sleep(JUDGED_FROM_S)
    while time.monotonic() < acknowledged + JUDGED_FROM_S + JUDGED_FOR_S:
        for machine in site.machines:
            sent = time.monotonic() - acknowledged
            attempt, status, body = await site.send(machine, "GET", "/reads/x")
            if status == 200 and body.startswith(b"alpha"):
                violations.append(
                    f"CONFIG: {attempt}, sent {sent:.1f} s after the acknowledgement of "
                    f"version 5 at {machine.name}, is run by alpha, as before it")
            attempt, status, body = await site.send(machine, "GET", "/added/x")
            if status == 404:
                violations.append(
                    f"CONFIG: {attempt}, sent {sent:.1f} s after the acknowledgement of "
                    f"version 5 at {machine.name}, gets 404 on a route that is there")
        await asyncio.sleep(1)
    return violations


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
