"""Stand-in of an upstream that sends heartbeats to its daemon, for the soak."""

import asyncio
import collections
import json
import socket
import struct
import time
from random import Random

from http_wire import read_request, read_response, write_request, write_response

HEARTBEAT_INTERVAL_S = 0.5
# An upstream that has named a limit for LIMIT_GRACE_S may get one and a half times
# the limit and LIMIT_SLACK requests in any span of LIMIT_WINDOW_S.
LIMIT_GRACE_S, LIMIT_WINDOW_S, LIMIT_SLACK = 3.0, 4.0, 5
# Time after which a leaving upstream gets no more requests; half a second longer for
# an upstream whose answers alone say so, since the answer has to reach the client.
DRAIN_S, LEAVING_ANSWER_S = 2.0, 0.5
# Time that a request takes; requests whose path holds /l/ are the long ones.
SHORT_WORK_S, LONG_WORK_S = (0.002, 0.08), (0.2, 2.5)


class SiteUpstream:
    slots = 4

    def __init__(self, vm, service, address, control_address, run_counts, arrivals,
                 random):
        self.vm, self.service, self.arrivals = vm, service, arrivals
        self.address, self.control_address = address, control_address
        self.run_counts, self.random = run_counts, random
        self.start_count = 0
        self.lose_ratio = self.garble_ratio = self.copy_ratio = 0.0
        # Factor on the time that requests take.
        self.slowdown = 1.0
        # Monotonic time at which the daemon acknowledged that the current
        # instance is draining.
        self.drain_acked_at = None
        self.late_arrivals = self.late_told_arrivals = self.excess_arrivals = 0
        self.server = None
        self.heartbeat_task = None
        self.writers = set()
        # Health checks on the other upstreams are reset.
        self.answers_health = Random(address).random() < 0.5
        # Monotonic times at which a request that crashes upstreams arrived.
        self.crash_times = []
        # Attempts that are being run.
        self.at_work = set()

    async def start(self, instance_id=None, clock_offset_ms=0):
        """Starts under a new id unless one is given; the clock of the VM may be
        wrong at the start."""
        self.start_count += 1
        self.instance_id = instance_id or f"i-{self.vm}-{self.start_count}"
        self.start_time_ms = int(time.time() * 1000) + clock_offset_ms
        self.sequence, self.draining, self.drain_acked_at = 0, False, None
        self.withdrawn = False
        # Whether answers, but not heartbeats, say that the upstream is leaving.
        self.leaving, self.leaving_told_at = False, None
        self.set_limit(None)
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def set_limit(self, requests_per_s):
        self.limit, self.limit_told_at = requests_per_s, None
        self.recent_arrivals = collections.deque()

    def _check_limit(self, now):
        if self.limit_told_at is None or now < self.limit_told_at + LIMIT_GRACE_S:
            return
        self.recent_arrivals.append(now)
        while self.recent_arrivals[0] < now - LIMIT_WINDOW_S:
            self.recent_arrivals.popleft()
        allowed = 1.5 * self.limit * LIMIT_WINDOW_S + LIMIT_SLACK
        self.excess_arrivals += len(self.recent_arrivals) > allowed

    def _state_headers(self):
        headers = []
        if self.limit is not None:
            headers.append(f"Server-Limit: {self.limit:.1f}")
        if self.leaving:
            headers.append("Server-Leaving: 1")
        return headers

    def _note_state_told(self, headers):
        now = time.monotonic()
        if "Server-Leaving: 1" in headers and self.leaving_told_at is None:
            self.leaving_told_at = now
        if self.limit is not None and len(headers) and self.limit_told_at is None:
            self.limit_told_at = now

    async def stop(self):
        self.heartbeat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def hold_heartbeats(self):
        self.heartbeat_task.cancel()

    async def withdraw(self):
        """Announces the departure by a DELETE, after which no heartbeat is sent."""
        self.hold_heartbeats()
        self.withdrawn = True
        while await self._call_daemon("DELETE", b"") != 200:
            await asyncio.sleep(0.2)
        self.drain_acked_at = time.monotonic()

    async def _call_daemon(self, method, body):
        """Returns the status of the answer; None without one in a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.control_address.split(":")), 1)
            await write_request(
                writer, method, f"/-/instances/{self.instance_id}", ("Host: c",), body)
            return (await asyncio.wait_for(read_response(reader), 1)).status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer:
                writer.close()

    async def send_late_heartbeats(self, count, interval_s=0):
        """Delivers heartbeats that were held up since before the departure."""
        for _ in range(count):
            await self._call_daemon("PUT", self._next_heartbeat())
            await asyncio.sleep(interval_s)

    def _next_heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": "z",
            "version": "v1", "slots": self.slots, "sequence": self.sequence,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0, "born": self.start_time_ms}).encode()

    async def _send_heartbeats(self):
        while True:
            told_draining = self.draining
            status = await self._call_daemon("PUT", self._next_heartbeat())
            if told_draining and status == 200 and self.drain_acked_at is None:
                self.drain_acked_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        instance_id = self.instance_id
        last_answer = b""
        try:
            while (request := await read_request(reader)) is not None:
                # A second copy of the last answer, late: the connection is in use
                # again.
                if last_answer and self.random.random() < self.copy_ratio:
                    writer.write(last_answer)
                last_answer = await self._answer(request, instance_id, writer)
                if not last_answer:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_health(self, writer):
        if not self.answers_health:
            writer.transport.abort()
            return None
        is_leaving = self.draining or self.withdrawn or self.leaving
        return await write_response(
            writer, 503 if is_leaving else 200, b"",
            (f"Samphirelb-Instance-Id: {self.instance_id}",))

    async def _answer(self, request, instance_id, writer):
        if request.target == "/health":
            return await self._answer_health(writer)
        attempt = request.headers["samphirelb-attempt-id"]
        attempt_header = f"Samphirelb-Attempt-Id: {attempt}"
        if request.headers.get("samphirelb-target-instance") != instance_id:
            return await write_response(writer, 421, b"", (attempt_header,))
        now = time.monotonic()
        self.late_arrivals += bool(
            self.drain_acked_at and now > self.drain_acked_at + DRAIN_S)
        self.late_told_arrivals += bool(
            self.leaving_told_at
            and now > self.leaving_told_at + DRAIN_S + LEAVING_ANSWER_S)
        self._check_limit(now)
        self.arrivals[attempt] = now
        self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
        if "/crash/" in request.target:
            self.crash_times.append(now)
            await self.stop()
            return None
        signature_header = f"Samphirelb-Response-Signature: {attempt}"
        is_long = "/l/" in request.target
        work_s = self.random.uniform(*(LONG_WORK_S if is_long else SHORT_WORK_S))
        work_s *= self.slowdown
        allowed_s = int(request.headers["samphirelb-deadline-ms"]) / 1000
        self.at_work.add(attempt)
        try:
            await asyncio.sleep(min(work_s, allowed_s))
        finally:
            self.at_work.discard(attempt)
        if work_s > allowed_s:
            return await write_response(
                writer, 504, b"", (attempt_header, signature_header))
        draw = self.random.random()
        if draw < self.lose_ratio:
            writer.transport.abort()
            return None
        body = f"{request.target} {len(request.body)}".encode()
        if draw < self.lose_ratio + self.garble_ratio:
            await self._send_half_answer(writer, attempt_header, signature_header)
            return None
        state_headers = self._state_headers()
        answer = await write_response(
            writer, 200, body, (attempt_header, signature_header, *state_headers))
        self._note_state_told(state_headers)
        return answer

    async def _send_half_answer(self, writer, *headers):
        """Ends an answer midway: with a length, in chunks or with no length."""
        shape = self.random.randrange(3)
        framing = ("Content-Length: 500", "Transfer-Encoding: chunked", "X-Note: x")
        body = ("short", "64\r\nshort", "short")
        lines = ["HTTP/1.1 200 X", *headers, framing[shape], "", body[shape]]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        if shape == 2:
            # Without a length, only a reset shows that the answer is not complete;
            # abort() alone would end the stream as if it were.
            await asyncio.sleep(0.01)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
