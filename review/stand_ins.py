"""Stand-ins of the platform, the targets and the clients for the cases in review/.

The relays are real processes: the command of deploy/system.toml with the settings
template deploy/relay.settings. Everything else runs in the process of the script.
All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Bounds of the small sites (kit/more/system/sites), in seconds.
STABLE_WINDOW_S, DRAIN_S, GRACE_S, CONFIG_APPLY_S = 3.0, 2.0, 6, 2.0
STORE_ANSWER_S = 0.004
HOST = "h.example"


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """The file record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0].split(" ", 2), headers


async def read_message(reader):
    start, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start, headers, body


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: objects, conditional writes, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.objects, self.revision = {}, 1
        self.changed = asyncio.Event()
        # While the store is down it answers nothing: connections are reset.
        self.down = False
        self.writers = set()

    def put(self, kind, name, spec):
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("created", self.revision)
        self.objects[kind, name] = {
            "name": name, "revision": self.revision, "created": created, "spec": spec}
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down):
        self.down = down
        self.record(f"store: {'down (reset)' if down else 'back'}")
        if down:
            for writer in list(self.writers):
                writer.transport.abort()

    @staticmethod
    def _json(entry):
        return {"metadata": {"name": entry["name"], "revision": entry["revision"],
                             "created": entry["created"], "finalizers": [],
                             "deleting": False},
                "spec": entry["spec"], "status": None}

    async def serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                start, _, body = await read_message(reader)
                status, answer = await self._handle(start[0], start[1], body)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(response_bytes(status, (), json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        segments = url.path.split("/")[3:]
        kind, name = segments[0], segments[1] if len(segments) > 1 else None
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "GET" and name is None:
            items = [self._json(e) for (k, _), e in sorted(self.objects.items())
                     if k == kind]
            return 200, {"items": items, "more": False, "storeRevision": self.revision}
        document = json.loads(body) if body else {}
        name = name or document["metadata"]["name"]
        current = self.objects.get((kind, name))
        if method == "GET":
            return (200, self._json(current)) if current else (404, {})
        revision = document.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST" and current:
            return 409, self._json(current)
        if method in ("PUT", "DELETE") and not current:
            return 404, {}
        if revision and current and current["revision"] != int(revision):
            return 409, self._json(current)
        if method == "DELETE":
            self.revision += 1
            del self.objects[kind, name]
            return 200, {}
        if current is None or current["spec"] != document["spec"]:
            self.put(kind, name, document["spec"])
        return 200, self._json(self.objects[kind, name])

    async def _watch(self, kind, revision, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"deleted": False, "object": self._json(e)}
                      for (k, _), e in self.objects.items()
                      if k == kind and e["revision"] > revision]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Target:
    """A target beside a relay. `work(request)` returns the seconds that a request
    takes, or raises Crash."""

    class Crash(Exception):
        pass

    def __init__(self, name, service, machine, record, work, slots=8, zone="z"):
        self.name, self.service, self.machine = name, service, machine
        self.record, self.work, self.slots, self.zone = record, work, slots, zone
        self.starts, self.arrivals, self.server = 0, [], None
        self.writers, self.at_work = set(), {}
        self.beat_task = None

    async def start(self, instance=None, born_ms=None):
        self.starts += 1
        self.instance = instance or f"i-{self.name}-{self.starts}"
        self.born = born_ms or int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.server = await asyncio.start_server(
            self._serve, self.machine.host, self.machine.ports["app"],
            limit=1 << 20)
        self.beat_task = asyncio.create_task(self._beat())
        self.record(f"target {self.name}: starts as {self.instance}")

    async def stop(self, why):
        self.record(f"target {self.name}: ends ({why}); at work on "
                    f"{sorted(self.at_work)}")
        lost = sorted(self.at_work)
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        return lost

    async def call_control(self, method, body=b""):
        """Returns the status of the answer, or None without one in a second."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.machine.host, self.machine.ports["control"]), 1)
            try:
                writer.write((f"{method} /-/instances/{self.instance} HTTP/1.1\r\n"
                              f"Host: c\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                start, _, _ = await asyncio.wait_for(read_message(reader), 1)
                return int(start[1])
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat_once(self):
        self.sequence += 1
        return await self.call_control("PUT", json.dumps({
            "service": self.service,
            "address": f"{self.machine.host}:{self.machine.ports['app']}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
            "born": self.born}).encode())

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(1.5)

    async def leave(self):
        """Sends DELETE first, as some targets do; returns when it is acknowledged."""
        self.beat_task.cancel()
        while await self.call_control("DELETE") != 200:
            await asyncio.sleep(0.2)
        self.record(f"target {self.name}: DELETE acknowledged")
        return time.monotonic()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        instance = self.instance
        try:
            while True:
                start, headers = await read_head(reader)
                attempt = headers["samphirelb-attempt-id"]
                body = b""
                left = int(headers.get("content-length", 0))
                size = left
                while left > 0:
                    piece = await reader.read(min(left, 1 << 18))
                    if not piece:
                        raise ConnectionError
                    left -= len(piece)
                    if size <= 1 << 16:
                        body += piece
                echo = f"Samphirelb-Attempt-Id: {attempt}"
                if headers.get("samphirelb-target-instance", instance) != instance:
                    writer.write(response_bytes(421, (echo,)))
                    await writer.drain()
                    continue
                self.arrivals.append((time.monotonic(), attempt, start[1]))
                self.record(f"target {self.name}: runs {attempt} ({start[0]} "
                            f"{start[1]}, {size} bytes)")
                self.at_work[attempt] = True
                try:
                    allowed = int(headers["samphirelb-deadline-ms"]) / 1000
                    seconds = self.work(start[1], attempt)
                    await asyncio.sleep(min(seconds, allowed))
                    status = 200 if seconds <= allowed else 504
                except Target.Crash:
                    await self.stop(f"crashed by {attempt}")
                    self.at_work.clear()
                    asyncio.get_running_loop().create_task(self._restart())
                    return
                finally:
                    self.at_work.pop(attempt, None)
                answer = f"{start[1]} {size}".encode()
                writer.write(response_bytes(
                    status, (echo, f"Samphirelb-Response-Signature: {instance}",
                             f"Samphirelb-Server-Load: {len(self.at_work)},0,"
                             f"{self.slots}"), answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    down_s = 2.0

    async def _restart(self):
        await asyncio.sleep(self.down_s)
        await self.start()


class Machine:
    """One `sidecar` machine: addresses, the relay process and its settings file."""

    def __init__(self, name, host, ports, service, zone, mesh):
        self.name, self.host, self.ports = name, host, ports
        self.service, self.zone, self.mesh = service, zone, mesh
        self.process, self.started_at = None, None

    def fields(self):
        p, h = self.ports, self.host
        return {
            "node": self.name, "zone": self.zone, "service": self.service, "ip": h,
            "internalPorts.0": p["peer"], "internalPorts.1": p["metrics"],
            "listen.outbound": f"{h}:{p['outbound']}",
            "listen.ready": f"{h}:{p['ready']}",
            "listen.control": f"{h}:{p['control']}", "appAddr": f"{h}:{p['app']}",
            "platform.address": f"{self.mesh.store_host}:{self.mesh.ports['store']}",
            "seeds": ",".join(f"{m.host}:{p['control']}"
                              for m in self.mesh.machines[:3]) if self.started_at
                     else "",
            "bounds.budgetRatio": 0.2, "bounds.budgetSlack": 49,
            "bounds.budgetWindowS": 10, "bounds.graceS": GRACE_S,
            "limits.memoryMb": self.mesh.memory_mb, "limits.fileDescriptors": 4100}

    def start(self):
        template = (ROOT / "deploy/relay.settings").read_text()
        fields = self.fields()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m.group(1)]), template)
        path = self.mesh.folder / f"{self.name}.settings"
        path.write_text(text)
        log = open(self.mesh.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / "target/samphire-relay")], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C",
                 "SAMPHIRE_SETTINGS_FILE": str(path)})
        log.close()
        self.started_at = time.monotonic()
        self.mesh.record(f"relay {self.name}: started (pid {self.process.pid})")

    def end(self, signal_number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal_number)
        self.process.wait()
        self.mesh.record(f"relay {self.name}: ended by signal {signal_number}")


class Mesh:
    """A small deployment on loopback addresses with free ports."""

    def __init__(self, record, services, memory_mb=260, zones=1):
        self.record, self.memory_mb = record, memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="samphire-review-"))
        self.store = Store(record)
        for _ in range(50):
            prefix = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
            base = random.randint(20000, 30000)
            names = ("store", "app", "ready", "outbound", "control", "peer", "metrics")
            ports = {name: base + 2 * n for n, name in enumerate(names)}
            hosts = [f"{prefix}.{n + 1}" for n in range(len(services) + 1)]
            if all(self._is_free(h, p) for h in hosts for p in ports.values()):
                break
        else:
            raise CannotRun("no free ports")
        self.store_host, self.ports = hosts[-1], ports
        self.machines = []
        for n, service in enumerate(services):
            self.machines.append(Machine(
                f"m{n + 1}", hosts[n], ports, service, f"z{n % zones + 1}", self))
        self.version = 0

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
                return True
            except OSError:
                return False

    def write_config(self, routes, limits=None):
        self.version += 3
        services = sorted({r["service"] for r in routes.values()})
        self.store.put("config", "main", {
            "version": f"{self.version:08x}",
            "routes": {name: {"host": HOST, "priority": 1, "maxAttempts": 2,
                              "aimMs": 1500, **route}
                       for name, route in routes.items()},
            "services": {s: {"healthPath": "/health", "maxConnections": 600,
                             "protocol": "h1", "tls": False} for s in services},
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start(self):
        await asyncio.start_server(
            self.store.serve, self.store_host, self.ports["store"])
        for machine in self.machines:
            machine.start()

    async def is_ready(self, machine):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                machine.host, machine.ports["ready"]), 1)
            try:
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                start, _, _ = await asyncio.wait_for(read_message(reader), 1)
                return start[1] == "200"
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self.is_ready(m) for m in self.machines]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the relays are not ready")

    def close(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        # KEEP_LOGS=1 leaves the logs and settings of the relays for a look.
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def request(machine, record, method, path, attempt, deadline_ms, body=b"",
                  size=None):
    """Sends one client attempt on a new connection; returns its status, or None when
    the connection ends without a complete answer. With `size`, a body of so many
    bytes is sent."""
    length = len(body) if size is None else size
    record(f"client: sends {attempt} ({method} {path}, {length} bytes) to "
           f"{machine.name}")
    status = answer = None
    reader = writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            machine.host, machine.ports["outbound"]), 1)
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"Samphirelb-Attempt-Id: {attempt}\r\n"
                      f"Samphirelb-Deadline-Ms: {deadline_ms}\r\n"
                      f"Content-Length: {length}\r\n\r\n").encode())
        if size is None:
            writer.write(body)
        else:
            piece = b"x" * (1 << 18)
            while size > 0:
                writer.write(piece[:size])
                size -= min(size, len(piece))
                await writer.drain()
        await writer.drain()
        start, headers, answer = await asyncio.wait_for(
            read_message(reader), deadline_ms / 1000 + 1)
        status = int(start[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError):
        pass
    finally:
        if writer:
            writer.close()
    record(f"client: {attempt} gets {status or 'no answer'}")
    return status


def run_case(folder, main):
    """Runs `main(record, trouble)`, a coroutine that returns True if the rule held.
    Exits with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'on' if trouble else 'off'}")
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
        code = 0 if held else 1
        record("the rule held" if held else "THE RULE WAS BROKEN")
    except (CannotRun, asyncio.TimeoutError, FileNotFoundError) as failure:
        record(f"the case could not run: {failure!r}")
    print(open(record.file.name).read().splitlines()[-1].strip())
    os._exit(code)
