"""Stand-in of one upstream and its heartbeats, for the soak."""

import asyncio
import json
import time

from http_wire import read_request, read_response, write_request, write_response

BEAT_S = 0.5


class SiteUpstream:
    def __init__(self, vm, service, address, control, runs, random):
        self.vm, self.service = vm, service
        self.address, self.control = address, control
        self.runs, self.random = runs, random
        self.starts = 0
        self.lose_share = self.garble_share = 0.0
        # When this daemon acknowledged that the present start leaves.
        self.left_at = None
        self.late_arrivals = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.vm}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence, self.draining, self.left_at = 0, False, None
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beats = asyncio.create_task(self._beat())

    async def stop(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": self.address, "zone": "z",
                "version": "v1", "slots": 4, "sequence": self.sequence,
                "state": "draining" if self.draining else "ready",
                "warmupLeftMs": 0, "born": self.born}).encode()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.control.split(":")), 1)
                await write_request(
                    writer, "PUT", f"/-/instances/{self.id}", ("Host: c",), body)
                answer = await asyncio.wait_for(read_response(reader), 1)
                if self.draining and answer.status == 200 and self.left_at is None:
                    self.left_at = time.monotonic()
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        identity = self.id
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, identity, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, identity, writer):
        attempt = request.headers["samphirelb-attempt-id"]
        echo = f"Samphirelb-Attempt-Id: {attempt}"
        if request.headers.get("samphirelb-target-instance") != identity:
            await write_response(writer, 421, b"", (echo,))
            return True
        if self.left_at and time.monotonic() > self.left_at + 2:
            self.late_arrivals += 1
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        await asyncio.sleep(self.random.uniform(0.002, 0.08))
        draw = self.random.random()
        if draw < self.lose_share:
            writer.transport.abort()
            return False
        body = f"{request.target} {len(request.body)}".encode()
        signature = f"Samphirelb-Response-Signature: {attempt}"
        if draw < self.lose_share + self.garble_share:
            writer.write(f"HTTP/1.1 200 X\r\n{echo}\r\n{signature}\r\n"
                         f"Content-Length: 500\r\n\r\nshort".encode())
            await writer.drain()
            return False
        await write_response(writer, 200, body, (echo, signature))
        return True
