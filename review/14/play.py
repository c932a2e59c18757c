"""The two machines of a zone that watch the configuration lose the store while the
operator changes the configuration."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import BOUNDS, TROUBLE  # noqa: E402

MACHINES = [(f"a-{n}", "zone-a", "alpha" if n <= 3 else "beta") for n in range(1, 7)]
CUT_S, CHANGE_AFTER_S, STALE_S = 5.5, 0.5, 3.0


def routes(service):
    return {"orders": ("/orders/", "non_idempotent", service, 3000),
            "reads": ("/reads/", "idempotent", service, 3000)}


async def play(site):
    services, store = ("alpha", "beta"), site.store
    store.stale_s = STALE_S
    await site.open(site.config(1, routes("alpha"), services))
    for machine in site.machines:
        target = site_3.Target(machine, machine.service)
        await target.start()
        site.targets.append(target)
    if not await site.wait_served(site.machines, "/reads/x"):
        raise site_3.CannotRun("the mesh doesn't serve")
    # The relays elect those that watch, and the others read now and then.
    await asyncio.sleep(10)
    watching = [m for m in site.machines if store.watches[m.name] > 0]
    site.record(f"store: watched by {[m.name for m in watching]}")
    if len(watching) != 2:
        raise site_3.CannotRun("not two machines watch")
    if TROUBLE:
        store.close(watching)
        site.record("store: is cut off from them")
    await asyncio.sleep(CHANGE_AFTER_S)
    store.operate(site.config(2, routes("beta"), services))
    acknowledged = time.monotonic()
    in_touch = [m for m in site.machines if m not in watching]
    violations = []

    async def client(machine):
        while time.monotonic() < acknowledged + CUT_S:
            sent = time.monotonic() - acknowledged
            attempt, status, body = await site.send(
                machine, "POST", "/orders/x", b"order")
            if (status == 200 and body.startswith(b"alpha")
                    and sent > BOUNDS["configApplyMs"] / 1000):
                violations.append(
                    f"CONFIG: {attempt}, sent {sent:.2f} s after the acknowledgement of "
                    f"version 2 at {machine.name}, is run by alpha, as before it")
            await asyncio.sleep(0.1)

    await asyncio.gather(*(client(machine) for machine in in_touch))
    return violations


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
