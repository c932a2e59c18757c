"""BUDGET: a request that crashes each target that runs it is passed on for ever."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as s  # noqa: E402

POISON_INTERVAL_S, POISONS = 6.0, 6
WORK_S = 0.1


async def main(record, trouble):
    mesh = s.Mesh(record, ["catalogue"] * 5)
    mesh.write_config({
        "r": {"pathPrefix": "/r/", "kind": "idempotent", "timeoutMs": 2000,
              "service": "catalogue"},
        "w": {"pathPrefix": "/w/", "kind": "non_idempotent", "timeoutMs": 2500,
              "service": "catalogue"}})
    try:
        return await play(mesh, record, trouble)
    finally:
        mesh.close()


async def play(mesh, record, trouble):
    crashes, poison_runs = [], []

    def work(path, attempt):
        if not path.startswith("/r/poison"):
            return 1.0 if path.startswith("/w/") else WORK_S
        poison_runs.append((time.monotonic(), attempt))
        if not trouble:
            return WORK_S
        crashes.append(time.monotonic())
        raise s.Target.Crash

    await mesh.start()
    targets = [s.Target(m.name, m.service, m, record, work) for m in mesh.machines]
    await mesh.wait_until_ready()
    for target in targets:
        await target.start()
    await asyncio.sleep(4.0)
    ended = asyncio.Event()
    statuses = {}

    async def background():
        """A quiet hour: every three seconds a request of another path."""
        n = 0
        while not ended.is_set():
            n += 1
            await asyncio.sleep(3.0)
            attempt = f"quiet-{n}"
            write = n % 2 == 0
            statuses[attempt] = await s.request(
                mesh.machines[n % 5], record, "POST" if write else "GET",
                f"/{'w' if write else 'r'}/item{n}", attempt, 5000,
                b"x" if write else b"")

    task = asyncio.create_task(background())
    await asyncio.sleep(1.5)
    for n in range(POISONS):
        for attempt in (f"poison-{n}a", f"poison-{n}b"):
            status = await s.request(mesh.machines[n % 5], record, "GET",
                                     "/r/poison", attempt, 5000)
            # Clients retry an idempotent request once after a failure.
            if status == 200:
                break
        await asyncio.sleep(POISON_INTERVAL_S)
    ended.set()
    await task
    late = [a for at, a in poison_runs
            if len(crashes) >= 3 and at > crashes[2] + s.STABLE_WINDOW_S]
    failed = [a for a, status in statuses.items() if status != 200]
    record(f"the request crashed targets {len(crashes)} times; it reached targets "
           f"{len(late)} times later than {s.STABLE_WINDOW_S} s after the third crash "
           f"(3 are allowed): {late}; {len(statuses)} other requests, not served: "
           f"{failed}")
    return len(late) <= 3


s.run_case(pathlib.Path(__file__).parent, main)
