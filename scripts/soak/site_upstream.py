"""Stand-in of an upstream that sends heartbeats to its daemon, for the soak."""

import asyncio
import json
import time

from http_wire import read_request, read_response, write_request, write_response

HEARTBEAT_INTERVAL_S = 0.5


class SiteUpstream:
    def __init__(self, vm, service, address, control_address, run_counts, random):
        self.vm, self.service = vm, service
        self.address, self.control_address = address, control_address
        self.run_counts, self.random = run_counts, random
        self.start_count = 0
        self.lose_ratio = self.garble_ratio = 0.0
        # Monotonic time at which the daemon acknowledged that the current
        # instance is draining.
        self.drain_acked_at = None
        self.late_arrivals = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.start_count += 1
        self.instance_id = f"i-{self.vm}-{self.start_count}"
        self.start_time_ms = int(time.time() * 1000)
        self.sequence, self.draining, self.drain_acked_at = 0, False, None
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        self.heartbeat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": self.address, "zone": "z",
                "version": "v1", "slots": 4, "sequence": self.sequence,
                "state": "draining" if self.draining else "ready",
                "warmupLeftMs": 0, "born": self.start_time_ms}).encode()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.control_address.split(":")), 1)
                await write_request(
                    writer, "PUT", f"/-/instances/{self.instance_id}", ("Host: c",), body)
                response = await asyncio.wait_for(read_response(reader), 1)
                if self.draining and response.status == 200 and self.drain_acked_at is None:
                    self.drain_acked_at = time.monotonic()
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        instance_id = self.instance_id
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, instance_id, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, instance_id, writer):
        attempt = request.headers["samphirelb-attempt-id"]
        attempt_header = f"Samphirelb-Attempt-Id: {attempt}"
        if request.headers.get("samphirelb-target-instance") != instance_id:
            await write_response(writer, 421, b"", (attempt_header,))
            return True
        if self.drain_acked_at and time.monotonic() > self.drain_acked_at + 2:
            self.late_arrivals += 1
        self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
        await asyncio.sleep(self.random.uniform(0.002, 0.08))
        draw = self.random.random()
        if draw < self.lose_ratio:
            writer.transport.abort()
            return False
        body = f"{request.target} {len(request.body)}".encode()
        signature_header = f"Samphirelb-Response-Signature: {attempt}"
        if draw < self.lose_ratio + self.garble_ratio:
            writer.write(f"HTTP/1.1 200 X\r\n{attempt_header}\r\n{signature_header}\r\n"
                         f"Content-Length: 500\r\n\r\nshort".encode())
            await writer.drain()
            return False
        await write_response(writer, 200, body, (attempt_header, signature_header))
        return True
