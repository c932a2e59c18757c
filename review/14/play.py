"""Clients read their answers slowly, and their relay holds the answers until its
memory is used up."""

import asyncio
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import site_3  # noqa: E402
from site_3 import HOST, TROUBLE, message  # noqa: E402

MACHINES = [("a-1", "zone-a", "albums"), ("b-1", "zone-b", "albums"),
            ("a-2", "zone-a", "slots"), ("b-2", "zone-b", "slots")]
# Clients at the first machine of service `slots`.
ALBUM_CLIENTS, READERS = 100, 12
ALBUM_BYTES, ALBUM_EVERY_S = 6 << 20, 5.0
SLOW_BYTES_PER_S = 1_300_000
CALM_S, TROUBLE_S = 6.0, 14.0
DEADLINE_MS = 6000
MAX_LOST = 3


async def play(site):
    await site.open(site.config(
        1, {"album": ("/albums/", "idempotent", "albums", DEADLINE_MS),
            "browse": ("/slots/", "idempotent", "slots", DEADLINE_MS)},
        ("albums", "slots")))
    for machine in site.machines:
        target = site_3.Target(machine, machine.service, slots=91, work_s=0.1)
        await target.start()
        site.targets.append(target)
    machine = site.machines[2]
    if not await site.wait_served(site.machines, "/slots/x"):
        raise site_3.CannotRun("the mesh doesn't serve")
    for target in site.targets[:2]:
        target.answer_bytes = ALBUM_BYTES
    for target in site.targets[2:]:
        target.work_s = 0.3
    stopped, lost, rate = False, [], None
    loop = asyncio.get_running_loop()

    async def connect():
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        await asyncio.wait_for(loop.sock_connect(
            client, (machine.ip, site.ports["outbound"])), 1)
        return await asyncio.open_connection(sock=client, limit=1 << 16)

    async def read_answer(reader):
        """Returns the status, or None when the connection ends before its end."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        left = next(int(line.split(":")[1]) for line in head
                    if line.lower().startswith("content-length:"))
        while left > 0:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                return None
            left -= len(part)
            if rate:
                await asyncio.sleep(len(part) / rate)
        return int(head[0].split(" ")[1])

    async def client(delay, path, pause):
        await asyncio.sleep(delay)
        connection, answered = None, 0
        while not stopped:
            try:
                if not connection:
                    connection, answered = await connect(), 0
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            reader, writer = connection
            attempt, begun, status = site.next_attempt(), time.monotonic(), None
            site.record(f"client at {machine.name} sends {attempt} GET {path}")
            try:
                writer.write(message(f"GET {path} HTTP/1.1", (
                    f"Host: {HOST}", f"Samphirelb-Attempt-Id: {attempt}",
                    f"Samphirelb-Deadline-Ms: {DEADLINE_MS}")))
                status = await asyncio.wait_for(
                    read_answer(reader), DEADLINE_MS / 1000)
                outcome = status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                outcome = type(error).__name__
            took = time.monotonic() - begun
            site.record(f"client at {machine.name} gets {outcome} for {attempt}")
            if status is None:
                writer.close()
                connection = None
                was_passed_on = any(attempt in t.arrivals for t in site.targets)
                if answered and was_passed_on and took < DEADLINE_MS / 1000 - 0.05:
                    lost.append((attempt, path))
            answered += 1
            await asyncio.sleep(max(0, pause - took) if pause else 0.02)

    running = asyncio.gather(
        *(client(ALBUM_EVERY_S * n / ALBUM_CLIENTS, "/albums/x", ALBUM_EVERY_S)
          for n in range(ALBUM_CLIENTS)),
        *(client(n * 0.03, "/slots/x", 0) for n in range(READERS)))
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        rate = SLOW_BYTES_PER_S
        site.record(f"clients read {SLOW_BYTES_PER_S} bytes a second")
    await asyncio.sleep(TROUBLE_S)
    rate, stopped = None, True
    await running
    for each in site.machines:
        site.record(f"platform: {each.name}: the relay used {each.peak_mb:.0f} MB "
                    f"at most and ended by itself {each.own_ends} times")
    if len(lost) <= MAX_LOST:
        return []
    return [f"LOST: {machine.name} passed {attempt} {path} of a kept connection on to a "
            "target and closed the connection without a whole answer"
            for attempt, path in lost]


site_3.main(pathlib.Path(__file__).parent, MACHINES, play)
