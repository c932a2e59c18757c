"""A target leaves while the store is down; then all relays are killed at the same
moment and started again, and a heartbeat of the target arrives late. See claim.txt."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import mesh_2 as mesh  # noqa: E402

SLOTS = 91
REQUESTS_PER_S = 20.0
WORK_S = 0.05
DRAIN_MS, STABLE_WINDOW_MS = 2000, 3000
# Times in seconds from the moment at which the late heartbeat is sent.
STORE_DOWN_AT_S, STORE_BACK_AT_S = 0.2, 4.7
LEAVE_AT_S = 0.7
KILL_AT_S, RESTART_AT_S = 1.2, 1.7
LATE_HEARTBEAT_AT_S = 5.0
END_AT_S = 13.0


async def serve_target(machine, instance_id, arrivals):
    async def serve(reader, writer):
        try:
            while True:
                (_, _, _), headers = await mesh.read_message(reader)
                attempt = headers["samphirelb-attempt-id"]
                if headers.get("samphirelb-target-instance") != instance_id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\n"
                                 b"Content-Length: 0\r\nConnection: close\r\n\r\n")
                    return
                arrivals.append((time.monotonic(), attempt))
                await asyncio.sleep(WORK_S)
                writer.write((
                    f"HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: {attempt}\r\n"
                    f"Samphirelb-Response-Signature: sig-{attempt}\r\n"
                    "Content-Length: 2\r\n\r\nok").encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, *machine.at("app"))


async def get(machine, attempt, outcomes, record):
    writer, outcome = None, "no answer"
    try:
        reader, writer = await asyncio.open_connection(*machine.at("outbound"))
        writer.write((f"GET /photos/{attempt} HTTP/1.1\r\nHost: co-op.example\r\n"
                      f"Samphirelb-Attempt-Id: {attempt}\r\n"
                      "Samphirelb-Deadline-Ms: 2000\r\n\r\n").encode())
        async with asyncio.timeout(3):
            start, headers = await mesh.read_message(reader)
            await reader.readexactly(int(headers["content-length"]))
        outcome = start[1]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    outcomes[outcome] = outcomes.get(outcome, 0) + 1
    record.line(f"request {attempt} at {machine.name}: {outcome}")


async def main(record):
    deployment = mesh.Mesh(
        [("zone-a", "photos"), ("zone-b", "photos"), ("zone-a", "slots"),
         ("zone-b", "slots")],
        mesh.config({"r-view": {
            "host": "co-op.example", "pathPrefix": "/photos/", "kind": "idempotent",
            "timeoutMs": 1500, "aimMs": 500, "priority": 1, "service": "photos",
            "maxAttempts": 2}}, ["photos", "slots"]))
    leaving_machine, other_machine, *entries = deployment.machines
    arrivals, other_arrivals, outcomes, tasks = [], [], {}, []
    instance_id = "i-leaving"
    try:
        await deployment.start()
        await serve_target(leaving_machine, instance_id, arrivals)
        await serve_target(other_machine, "i-other", other_arrivals)
        beats = mesh.Heartbeats(leaving_machine, SLOTS, instance_id)
        other_beats = mesh.Heartbeats(other_machine, SLOTS, "i-other")
        beat_task = asyncio.create_task(beats.run())
        tasks += [beat_task, asyncio.create_task(other_beats.run())]
        await deployment.wait_ready()
        for each in (beats, other_beats):
            await asyncio.wait_for(each.acknowledged.wait(), 10)
        await asyncio.sleep(4)

        # The last heartbeat before the departure is held up on its way.
        beat_task.cancel()
        beats.sequence += 1
        late_body = json.dumps({
            "service": "photos", "address": leaving_machine.text("app"),
            "zone": leaving_machine.zone, "version": "v1", "slots": SLOTS,
            "state": "ready", "warmupLeftMs": 0, "sequence": beats.sequence,
            "born": beats.born}).encode()
        started = time.monotonic()
        acknowledged_at = None
        in_touch_at = started

        async def at(offset_s, text):
            await asyncio.sleep(max(0, started + offset_s - time.monotonic()))
            record.line(text)

        async def events():
            nonlocal acknowledged_at, in_touch_at
            if mesh.TROUBLE:
                await at(STORE_DOWN_AT_S, "the store is down (503)")
                deployment.store.outage = "refuse"
            await at(LEAVE_AT_S, "the target of the first machine sends DELETE")
            status = await mesh.call(leaving_machine.at("control"), "DELETE",
                                     f"/-/instances/{instance_id}")
            if status != 200:
                raise RuntimeError("the departure was not acknowledged")
            acknowledged_at = time.monotonic()
            record.line("the departure is acknowledged")
            if mesh.TROUBLE:
                await at(KILL_AT_S, "all relays are killed")
                for machine in deployment.machines:
                    machine.relay.kill()
                for machine in deployment.machines:
                    machine.relay.wait()
                await at(RESTART_AT_S, "all relays are started again")
                for machine in deployment.machines:
                    machine.start_relay()
                await at(STORE_BACK_AT_S, "the store is back")
                deployment.store.outage = None
                in_touch_at = time.monotonic() + STABLE_WINDOW_MS / 1000
            await at(LATE_HEARTBEAT_AT_S, "the late heartbeat arrives")
            status = await mesh.call(leaving_machine.at("control"), "PUT",
                                     f"/-/instances/{instance_id}", late_body)
            record.line(f"the late heartbeat is answered {status}")

        event_task = asyncio.create_task(events())
        requests, number = [], 0
        while time.monotonic() < started + END_AT_S:
            number += 1
            requests.append(asyncio.create_task(get(
                entries[number % len(entries)], f"r{number}", outcomes, record)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await event_task
        await asyncio.gather(*requests)
        binding_from = max(acknowledged_at + DRAIN_MS / 1000, in_touch_at)
        late = [(when, attempt) for when, attempt in arrivals if when > binding_from]
        for when, attempt in late:
            record.line(f"DRAIN: {attempt} reached the target that had left "
                        f"{when - acknowledged_at:.2f} s after the acknowledgement")
        record.line(f"answers: {outcomes}; {len(arrivals)} arrivals at the leaving "
                    f"target, {len(other_arrivals)} at the other; {len(late)} late, "
                    "sent by machines in touch")
        if not outcomes.get("200"):
            raise RuntimeError("no request was served")
        return not late
    finally:
        for task in tasks:
            task.cancel()
        deployment.stop()


if __name__ == "__main__":
    mesh.run_case(main, FOLDER)
