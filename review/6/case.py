"""A target crashes while it sends an answer that has no length, before it has read
the whole of a long upload. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import mesh_2 as mesh  # noqa: E402

SLOTS = 8
UPLOAD_BYTES = 6 << 20
UPLOADS = 6
PIECE_BYTES, PIECES, PIECE_PAUSE_S = 4096, 20, 0.1
RECEIVE_BUFFER_BYTES = 128 << 10
CRASH_AFTER_S = 0.7


def whole_body(attempt):
    return (attempt.encode() * PIECE_BYTES)[:PIECE_BYTES] * PIECES


async def serve_target(ip, port, instance_id):
    """The target: answers before it has read a long body, with no length, and ends
    the answer with the connection. It reads the body slowly meanwhile."""

    async def serve(reader, writer):
        (method, path, _), headers = await mesh.read_message(reader)
        attempt = headers.get("samphirelb-attempt-id", "")
        if headers.get("samphirelb-target-instance") != instance_id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\n"
                         b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        print(f"run {attempt} {method} {path}", flush=True)
        unread = int(headers.get("content-length", 0))
        writer.write((f"HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: {attempt}\r\n"
                      f"Samphirelb-Response-Signature: sig-{attempt}\r\n"
                      "Connection: close\r\n\r\n").encode())
        for number in range(PIECES):
            writer.write(whole_body(attempt)[number * PIECE_BYTES:
                                             (number + 1) * PIECE_BYTES])
            await writer.drain()
            unread -= len(await reader.read(min(unread, 64 << 10)))
            await asyncio.sleep(PIECE_PAUSE_S)
        while unread > 0:
            unread -= len(await reader.readexactly(min(unread, 64 << 10)))
        print(f"answered {attempt} whole", flush=True)
        writer.close()

    listener = mesh.socket.socket()
    listener.setsockopt(mesh.socket.SOL_SOCKET, mesh.socket.SO_REUSEADDR, 1)
    listener.setsockopt(mesh.socket.SOL_SOCKET, mesh.socket.SO_RCVBUF,
                        RECEIVE_BUFFER_BYTES)
    listener.bind((ip, port))
    server = await asyncio.start_server(serve, sock=listener)
    await server.serve_forever()


async def upload(machine, attempt, record):
    """Returns (status, length that the answer states, body) or None."""
    writer = None
    record.line(f"sent {attempt} at {machine.name}: POST, {UPLOAD_BYTES} bytes")
    try:
        reader, writer = await asyncio.open_connection(*machine.at("outbound"))
        writer.write((f"POST /photos/{attempt} HTTP/1.1\r\nHost: co-op.example\r\n"
                      f"Samphirelb-Attempt-Id: {attempt}\r\n"
                      "Samphirelb-Deadline-Ms: 10000\r\n"
                      f"Content-Length: {UPLOAD_BYTES}\r\n\r\n").encode()
                     + bytes(UPLOAD_BYTES))
        start, headers = await mesh.read_message(reader)
        length = headers.get("content-length")
        body = await (reader.read() if length is None
                      else reader.readexactly(int(length)))
        signed = "samphirelb-response-signature" in headers
        record.line(f"answered {attempt}: {start[1]}, signature={signed}, "
                    f"Content-Length {length}, body complete: {len(body)} bytes; "
                    f"the target's whole body has {PIECE_BYTES * PIECES}")
        return int(start[1]), body
    except (OSError, asyncio.IncompleteReadError) as error:
        record.line(f"answered {attempt}: connection ended early ({error!r})")
        return None
    finally:
        if writer:
            writer.close()


async def main(record):
    deployment = mesh.Mesh(
        [("zone-a", "slots")]
        + [(f"zone-{zone}", "photos") for zone in "abcabca"],
        mesh.config({"r-photo": {
            "host": "co-op.example", "pathPrefix": "/photos/", "kind": "upload",
            "timeoutMs": 8000, "aimMs": 3000, "priority": 1, "service": "photos",
            "maxAttempts": 2}}, ["slots", "photos"]))
    entry, *guards = deployment.machines
    targets, beats = {}, {}

    def output(guard):
        with open(os.path.join(deployment.folder, f"{guard.name}.target")) as log:
            return log.read().splitlines()

    try:
        await deployment.start()
        for guard in guards:
            ip, port = guard.at("app")
            instance_id = f"i-{guard.name}"
            with open(os.path.join(deployment.folder,
                                   f"{guard.name}.target"), "wb") as log:
                targets[guard] = mesh.subprocess.Popen(
                    [sys.executable, __file__, "target", ip, str(port), instance_id],
                    stdout=log)
            heartbeats = mesh.Heartbeats(guard, SLOTS, instance_id)
            beats[guard] = asyncio.create_task(heartbeats.run())
            await asyncio.wait_for(heartbeats.acknowledged.wait(), 10)
        await deployment.wait_ready()
        await asyncio.sleep(3)
        uploads = []
        for number in range(UPLOADS):
            uploads.append(asyncio.create_task(
                upload(entry, f"u{number}", record)))
            await asyncio.sleep(0.1)
        if mesh.TROUBLE:
            await asyncio.sleep(CRASH_AFTER_S)
            victim = max(guards, key=lambda guard: len(output(guard)))
            record.line(f"the target of {victim.name} is killed")
            beats[victim].cancel()
            targets[victim].kill()
        answers = await asyncio.gather(*uploads)
        for guard in guards:
            for line in output(guard):
                record.line(f"target of {guard.name}: {line}")
        if not any(answers):
            raise RuntimeError("no upload was answered")
        if not mesh.TROUBLE and not all(
                answer and answer[0] == 200 for answer in answers):
            raise RuntimeError("an upload failed without a disruption")
        broken = [number for number, answer in enumerate(answers)
                  if answer and answer[0] < 300
                  and answer[1] != whole_body(f"u{number}")]
        for number in broken:
            record.line(f"MIXED: u{number} got a success with "
                        f"{len(answers[number][1])} of {PIECE_BYTES * PIECES} bytes")
        return not broken
    finally:
        for task in beats.values():
            task.cancel()
        for target in targets.values():
            target.kill()
            target.wait()
        deployment.stop()


if __name__ == "__main__":
    if sys.argv[1:2] == ["target"]:
        asyncio.run(serve_target(sys.argv[2], int(sys.argv[3]), sys.argv[4]))
    else:
        mesh.run_case(main, FOLDER)
