"""A target reads uploads slowly, and its relay holds them until its memory is used
up."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import TROUBLE  # noqa: E402

MACHINES = [("a-1", "zone-a", "photos"), ("b-1", "zone-b", "slots")] + [
    (f"{zone}-{number}", f"zone-{zone}", "slots")
    for number in (2, 3, 4) for zone in "ab"]
# Clients of each machine; each uploads a photo every UPLOAD_EVERY_S.
UPLOADERS, UPLOAD_EVERY_S, PHOTO_BYTES = 12, 5.3, 5 << 20
READERS = 10
SLOW_BYTES_PER_S = 1_200_000
CALM_S, TROUBLE_S = 6.0, 14.0
DEADLINE_MS = 6000
MAX_LOST = 3


async def play(site):
    machines = site.machines
    await site.open(site.config(
        1, {"upload": ("/photos/", "upload", "photos", DEADLINE_MS),
            "browse": ("/slots/", "idempotent", "slots", DEADLINE_MS)},
        ("photos", "slots")))
    for machine in machines:
        is_photos = machine.service == "photos"
        target = site_3.Target(
            machine, machine.service, slots=183, work_s=0.12 if is_photos else 0.3)
        await target.start()
        site.targets.append(target)
    if not await site.wait_served(machines, "/slots/x"):
        raise site_3.CannotRun("the mesh doesn't serve")
    photos, photo = site.targets[0], b"p" * PHOTO_BYTES
    stopped, lost = False, []

    async def client(machine, delay, pause, method, path, body):
        """Sends requests on one connection for as long as the relay keeps it."""
        await asyncio.sleep(delay)
        connection, answered = None, 0
        while not stopped:
            begun = time.monotonic()
            try:
                if not connection:
                    connection, answered = await asyncio.wait_for(
                        asyncio.open_connection(
                            machine.ip, site.ports["outbound"]), 1), 0
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            attempt, status, _ = await site.send(
                machine, method, path, body, DEADLINE_MS, connection)
            took = time.monotonic() - begun
            was_passed_on = any(attempt in t.arrivals for t in site.targets)
            if status is None:
                connection[1].close()
                connection = None
                if answered and was_passed_on and took < DEADLINE_MS / 1000:
                    lost.append((machine.name, attempt, path))
            answered += 1
            await asyncio.sleep(max(0, pause - took) if pause else 0.02)

    clients = []
    for number, machine in enumerate(machines):
        for n in range(UPLOADERS):
            at = (n * len(machines) + number) / (UPLOADERS * len(machines))
            clients.append(client(
                machine, at * UPLOAD_EVERY_S, UPLOAD_EVERY_S, "POST", "/photos/x", photo))
        clients += [client(machine, n * 0.03, 0, "GET", "/slots/x", b"")
                    for n in range(READERS)]
    running = asyncio.gather(*clients)
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        photos.read_rate = SLOW_BYTES_PER_S
        site.record(f"target {photos.id} reads {SLOW_BYTES_PER_S} bytes a second")
    await asyncio.sleep(TROUBLE_S)
    photos.read_rate = None
    stopped = True
    await running
    for machine in machines:
        site.record(f"platform: {machine.name}: the relay used {machine.peak_mb:.0f} MB "
                    f"at most and ended by itself {machine.own_ends} times")
    if len(lost) <= MAX_LOST:
        return []
    return [f"LOST: {name} passed {attempt} {path} of a kept connection on to a target "
            "and closed the connection without an answer"
            for name, attempt, path in lost]


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
