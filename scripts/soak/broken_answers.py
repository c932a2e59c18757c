#!/usr/bin/env python3
"""Broken answers of an upstream, and of the store, to samphire-relay processes.

Usage: broken_answers.py RELAY [--seeds FIRST:LAST] [--rounds N] [--callers N]
                         [--memory-mb N] [--logs DIR]

The upstream of one VM gives answers that are not HTTP to requests that enter on its own
VM and on another one. Then, several times in a row, many callers at once send requests
that it answers with bytes without end, in every place of an answer, until its caller
closes the connection; from the second round on the store does the same. Meanwhile other
clients send small requests to the same upstream and to a sound one. A seed fails with
one of these words when
  ended      a daemon ended by itself
  memory     the peak resident size of a daemon is above its memory-mb
  answers    a small request got no whole answer
  mixed      a broken answer, or one without end, reached a client
  idle       fewer than half of the requests of a round reached the upstream, so that
             the seed shows nothing
Prints one line for each seed and exits with 1 if a check failed.
"""

import argparse
import asyncio
import os
import pathlib
import random
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(__file__))

from http_wire import read_request, read_response, write_request, write_response  # noqa: E402
from site_store import SiteStore  # noqa: E402
from site_upstream import SiteUpstream  # noqa: E402

FAULTY_SERVICE, SOUND_SERVICE = "faulty", "sound"
SLOTS = 400
PIECE = b"x" * (64 << 10)
TIMEOUT_MS = 4000
SMALL_CLIENTS, SMALL_PAUSE_S = 6, 0.02

ANSWER = ("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: {attempt}\r\n"
          "Samphirelb-Response-Signature: s\r\n")
CHUNKED = ANSWER + "Transfer-Encoding: chunked\r\n\r\n"
SIGNED_BODY = "Content-Length: 4\r\n\r\nbody"
# Answers that are not HTTP.
BROKEN = (
    *(f"HTTP/1.1 {status} X\r\n" + ANSWER.split("\r\n", 1)[1] + SIGNED_BODY
      for status in ("000", "020", "099", "101", "600", "999", "20", "2000")),
    *(f"HTTP/1.1 {status} X\r\n" + ANSWER.split("\r\n", 1)[1] + line + "\r\n"
      + SIGNED_BODY
      for status in (200, 404, 500)
      for line in ("X Y: v", "X : v", "\tX: v", " X: v", "X\x01: v", "X\x7f: v",
                   "X\0: v", "X\rY: v", ": v", "no colon", "X: v\x01",
                   "Transfer-Encoding : chunked", "Transfer-Encoding: gzip",
                   "Content-Length: 2", "Content-Length: 4x")),
)
# Start of each answer without end, and the bytes that are repeated after it.
ENDLESS = {
    "noise": ("", PIECE),
    "status_line": ("HTTP/1.1 200 ", PIECE),
    "field": (ANSWER + "X: ", PIECE),
    "fields": (ANSWER, b"X: " + PIECE[:900] + b"\r\n"),
    "body": (ANSWER + "\r\n", PIECE),
    "long_body": (ANSWER + "Content-Length: 60000000\r\n\r\n", PIECE),
    "chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "one_chunk": (CHUNKED + "ffffffff\r\n", PIECE),
    "chunk_size": (CHUNKED + "4;x=", PIECE),
    "trailer": (CHUNKED + "4\r\nbody\r\n0\r\nX: ", PIECE),
    "interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "other_answers": ("", (b"HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: other\r\n"
                           b"Content-Length: 9\r\n\r\nunrelated") * 800),
}


class EndlessStore(SiteStore):
    """Answers without end while `is_endless`."""

    is_endless = False

    async def serve(self, reader, writer):
        if not self.is_endless:
            return await super().serve(reader, writer)
        try:
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(PIECE)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def become_endless(self):
        """Ends the connections that are open, so that new ones are made."""
        self.is_endless, self.outage = True, "lost"


class FaultyUpstream(SiteUpstream):
    """Answers paths below /faulty/broken/ and /faulty/endless/ accordingly."""

    slots = SLOTS

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.broken_count = self.endless_count = 0

    async def _answer(self, request, instance_id, writer):
        attempt = request.headers["samphirelb-attempt-id"]
        if request.target.startswith("/faulty/broken/"):
            self.broken_count += 1
            answer = BROKEN[int(request.target.split("/")[3])]
            writer.write(answer.format(attempt=attempt).encode())
            await writer.drain()
            return None
        if not request.target.startswith("/faulty/endless/"):
            headers = (f"Samphirelb-Attempt-Id: {attempt}",
                       "Samphirelb-Response-Signature: s")
            return await write_response(writer, 200, attempt.encode(), headers)
        self.endless_count += 1
        start, piece = ENDLESS[request.target.split("/")[3]]
        writer.write(start.format(attempt=attempt).encode())
        while True:
            writer.write(piece)
            await writer.drain()


class BrokenAnswers:
    def __init__(self, relay, seed, options, folder):
        self.relay, self.seed, self.options, self.folder = relay, seed, options, folder
        self.random = random.Random(seed)
        self.prefix = f"127.{1 + seed // 200 % 250}.{seed % 200}"
        self.violations, self.processes, self.peaks_mb = set(), [], []
        self.next_attempt = self.small_count = 0
        self.ended = False

    def host(self, vm):
        return f"{self.prefix}.{vm + 1}"

    def put_policy(self, store):
        route = {"host": "h", "maxAttempts": 2, "timeoutMs": TIMEOUT_MS, "aimMs": 400,
                 "priority": 1, "kind": "idempotent"}
        services = (FAULTY_SERVICE, SOUND_SERVICE)
        store.put("config", "main", {
            "version": "00000001",
            "routes": {name: {**route, "pathPrefix": f"/{name}/", "service": name}
                       for name in services},
            "services": {name: {"healthPath": "/health", "maxConnections": 2 * SLOTS}
                         for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def start_daemon(self, vm, service):
        host = self.host(vm)
        settings = {
            "daemon-id": f"vm{vm}", "domain": f"zone{vm}", "service": service,
            "peer-address": f"{host}:7620", "client-address": f"{host}:8304",
            "ready-address": f"{host}:8302", "control-address": f"{host}:8306",
            "upstream-address": f"{host}:8301",
            "store-address": f"{self.prefix}.200:8309", "peer-secret": "soak",
            "repeat-ratio": "0.2", "repeat-slack": "49",
            "memory-mb": str(self.options.memory_mb)}
        with open(self.folder / f"vm{vm}.log", "wb") as log:
            self.processes.append(subprocess.Popen(
                [self.relay, *(f"--{name}={value}" for name, value in settings.items())],
                stdout=log, stderr=subprocess.STDOUT))

    async def request(self, vm, target):
        """Returns (attempt, response); the response is None without a whole one."""
        self.next_attempt += 1
        attempt, writer = f"{self.seed}-{self.next_attempt}", None
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 2):
                reader, writer = await asyncio.open_connection(self.host(vm), 8304)
                await write_request(writer, "GET", target, (
                    "Host: h", f"Samphirelb-Attempt-Id: {attempt}",
                    f"Samphirelb-Deadline-Ms: {TIMEOUT_MS}"))
                return attempt, await read_response(reader)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return attempt, None
        finally:
            if writer:
                writer.close()

    async def send_small_requests(self, vm, service):
        while not self.ended:
            attempt, response = await self.request(vm, f"/{service}/small/x")
            self.small_count += 1
            if not response or (response.status, response.body) != (
                    200, attempt.encode()):
                self.violations.add("answers")
            await asyncio.sleep(SMALL_PAUSE_S)

    async def send_all(self, targets):
        """Sends each request; an answer of the upstream is a violation."""
        results = await asyncio.gather(*(
            self.request(n % 2, target) for n, target in enumerate(targets)))
        if any(response and (response.status < 300
                             or "samphirelb-response-signature" in response.headers)
               for _, response in results):
            self.violations.add("mixed")

    async def send_broken_requests(self):
        for number in range(len(BROKEN)):
            await self.send_all([f"/faulty/broken/{number}/x"] * 2)

    async def send_endless_requests(self):
        shapes = list(ENDLESS)
        await self.send_all([f"/faulty/endless/{self.random.choice(shapes)}/{n}"
                             for n in range(self.options.callers)])

    def check_processes(self):
        self.peaks_mb = []
        for process in self.processes:
            if process.poll() is not None:
                self.violations.add("ended")
                continue
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            peak_kb = next(int(line.split()[1]) for line in status.splitlines()
                           if line.startswith("VmHWM"))
            self.peaks_mb.append(peak_kb >> 10)
            if peak_kb > self.options.memory_mb << 10:
                self.violations.add("memory")

    async def wait_until_served(self):
        async with asyncio.timeout(20):
            for vm in (0, 1):
                for service in (FAULTY_SERVICE, SOUND_SERVICE):
                    while True:
                        _, response = await self.request(vm, f"/{service}/small/x")
                        if response and response.status == 200:
                            break
                        await asyncio.sleep(0.2)

    async def run(self):
        store, upstreams, tasks = EndlessStore(), [], []
        self.put_policy(store)
        server = await asyncio.start_server(store.serve, f"{self.prefix}.200", 8309)
        try:
            for vm, service in enumerate((SOUND_SERVICE, FAULTY_SERVICE)):
                self.start_daemon(vm, service)
                upstreams.append(FaultyUpstream(
                    vm, service, f"{self.host(vm)}:8301", f"{self.host(vm)}:8306",
                    {}, {}, self.random))
                await upstreams[-1].start()
            await self.wait_until_served()
            await self.send_broken_requests()
            if upstreams[1].broken_count < len(BROKEN):
                self.violations.add("idle")
            tasks = [asyncio.create_task(self.send_small_requests(
                number % 2, (FAULTY_SERVICE, SOUND_SERVICE)[number // 2 % 2]))
                for number in range(SMALL_CLIENTS)]
            for _ in range(self.options.rounds):
                reached = upstreams[1].endless_count
                await self.send_endless_requests()
                if upstreams[1].endless_count - reached < self.options.callers / 2:
                    self.violations.add("idle")
                self.check_processes()
                store.become_endless()
            self.ended = True
            await asyncio.gather(*tasks)
        finally:
            for process in self.processes:
                process.kill()
                process.wait()
            for upstream in upstreams:
                await upstream.stop()
            server.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("relay")
    parser.add_argument("--seeds", default="1:1")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--memory-mb", type=int, default=160)
    parser.add_argument("--logs")
    options = parser.parse_args()
    first, last = (int(n) for n in options.seeds.split(":"))
    failed = 0
    for seed in range(first, last + 1):
        folder = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="broken-answers-"))
        folder.mkdir(parents=True, exist_ok=True)
        check = BrokenAnswers(options.relay, seed, options, folder)
        asyncio.run(check.run())
        failed += bool(check.violations)
        print(f"seed={seed} callers={options.callers} rounds={options.rounds} "
              f"small={check.small_count} limit_mb={options.memory_mb} "
              f"peaks_mb={','.join(map(str, check.peaks_mb))} result="
              + ("fail " + ",".join(sorted(check.violations))
                 if check.violations else "pass"), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
