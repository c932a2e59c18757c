"""Stand-ins of a small deployment for the cases 11 to 15: the platform with its
store, targets, clients, and real samphire-relay processes, all on loopback.

Each machine has an address of its own in 127.0.0.0/8; the ports are the same on
all machines, as in the site files. The platform renders deploy/relay.settings,
starts the command of deploy/system.toml, restarts a process that ended, and kills
a process that exceeds `memoryMb`.
"""

import asyncio
import collections
import copy
import functools
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"drainMs": 2000, "graceS": 6, "stableWindowMs": 3000, "configApplyMs": 2000,
          "maxStretchMs": 5000, "budgetRatio": 0.2, "budgetSlack": 49,
          "budgetWindowS": 10}
# The interval of heartbeats, and the delay after which the platform restarts a
# process that has ended.
HEARTBEAT_S, RESTART_S = 1.5, 1.0
MEMORY_MB = 260
MAX_PRINTED = 20
HOST = "shop.example"


class Record:
    """Writes record.txt beside the case: one line for each event."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads a request or an answer with a length; None when the connection ends
    before it begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" ", 2), headers, body


def message(first_line, headers, body=b""):
    lines = [first_line, *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store: objects, revisions, watches, and the era that rises
    when it comes back from a copy."""

    def __init__(self, site):
        self.site, self.record = site, site.record
        self.objects, self.revision, self.era = {}, 1, 1
        self.operator_writes = []
        self.changed = asyncio.Event()
        self.servers, self.writers = {}, {}
        # Number of watches that wait, by machine.
        self.watches = collections.Counter()
        # Age of what a read with staleOk returns, and the former states.
        self.stale_s, self.former = 0.0, []

    async def open(self, machines=None):
        """Serves the machines, each at an address of its own, so that each can be cut
        off by itself; all machines unless they are named."""
        for machine in machines or self.site.machines:
            self.writers[machine.name] = set()
            self.servers[machine.name] = await asyncio.start_server(
                functools.partial(self._serve, machine.name), machine.store_ip,
                self.site.ports["store"])

    def close(self, machines=None):
        """Goes away, for all machines unless they are named: refuses connections and
        resets the open ones."""
        for machine in machines or self.site.machines:
            self.servers[machine.name].close()
            for writer in list(self.writers[machine.name]):
                writer.transport.abort()

    def put(self, kind, name, spec):
        self.revision += 1
        made = self.objects.get((kind, name), {}).get("created", self.revision)
        self.objects[kind, name] = {
            "revision": self.revision, "created": made, "spec": spec}
        self.former.append((time.monotonic(), dict(self.objects), self.revision))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.record(f"store: {kind}/{name} has revision {self.revision}")

    def operate(self, config):
        """The operator writes a configuration; the return is the acknowledgement."""
        self.operator_writes.append((self.revision + 1, config))
        self.put("config", "main", config)
        self.record(f"operator: version {config['version']} is acknowledged")

    def copy(self):
        self.record(f"store: a copy is made at revision {self.revision}")
        return copy.deepcopy(self.objects), self.revision

    def restore(self, saved):
        """Comes back from the copy. What the operator wrote since is written again."""
        self.objects, self.revision = copy.deepcopy(saved[0]), saved[1]
        self.era += 1
        self.record(f"store: restored, era {self.era}, revision {self.revision}")
        lost = [config for revision, config in self.operator_writes
                if revision > saved[1]]
        for config in lost:
            self.put("config", "main", config)

    def _state_before(self, seconds):
        states = [s for at, *s in self.former if at <= time.monotonic() - seconds]
        return states[-1] if states else self.former[0][1:]

    def _json(self, kind, name, objects=None):
        entry = (objects or self.objects)[kind, name]
        metadata = {"name": name, "revision": entry["revision"],
                    "created": entry["created"], "finalizers": [], "deleting": False}
        return {"metadata": metadata, "spec": entry["spec"], "status": None}

    async def _serve(self, machine, reader, writer):
        self.writers[machine].add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                (method, target, _), _, body = request
                is_watch = "watch=" in target
                self.watches[machine] += is_watch
                try:
                    status, answer = await self._handle(method, target, body)
                finally:
                    self.watches[machine] -= is_watch
                writer.write(message(
                    f"HTTP/1.1 {status} X",
                    ("Content-Type: application/json", f"Store-Era: {self.era}"),
                    json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers[machine].discard(writer)
            writer.close()

    async def _handle(self, method, target, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "GET" and not name:
            objects, revision = self.objects, self.revision
            if "staleOk" in query and self.stale_s:
                objects, revision = self._state_before(self.stale_s)
            names = sorted(n for k, n in objects if k == kind)
            items = [self._json(kind, n, objects) for n in names
                     if n > query.get("after", "")]
            return 200, {"items": items, "more": False, "storeRevision": revision}
        if method == "GET":
            known = (kind, name) in self.objects
            return (200, self._json(kind, name)) if known else (404, {})
        document = json.loads(body) if body else {}
        name = name or document["metadata"]["name"]
        current = self.objects.get((kind, name))
        expected = query.get("revision", document.get("metadata", {}).get("revision"))
        if method == "POST" and current:
            return 409, self._json(kind, name)
        if method != "POST" and not current:
            return 404, {}
        if current and expected and int(expected) != current["revision"]:
            return 409, self._json(kind, name)
        if method == "DELETE":
            self.revision += 1
            answer = self._json(kind, name)
            del self.objects[kind, name]
            return 200, answer
        if not current or current["spec"] != document["spec"]:
            self.put(kind, name, document["spec"])
        return 200, self._json(kind, name)

    async def _watch(self, kind, revision, wait_ms):
        # The revision is one that the store doesn't have (yet, or any more).
        if revision > self.revision:
            return 410, {}
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"deleted": False, "object": self._json(k, n)}
                      for (k, n), entry in self.objects.items()
                      if k == kind and entry["revision"] > revision]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Target:
    """An application target beside a relay."""

    def __init__(self, machine, service, slots=8, work_s=0.05):
        self.machine, self.service, self.slots = machine, service, slots
        self.site, self.record, self.work_s = machine.site, machine.site.record, work_s
        # Runs as (time, attempt), and the times at which attempts reached the target.
        self.starts, self.runs, self.arrivals = 0, [], {}
        # Bytes a second at which the target reads; None for as they come.
        self.read_rate = None
        self.answer_bytes = 20
        self.leaving, self.beats, self.server, self.writers = False, None, None, set()

    async def start(self, same_id=False):
        self.starts += 0 if same_id and self.starts else 1
        self.id = f"i-{self.machine.name}-{self.starts}"
        self.born, self.sequence, self.leaving = int(time.time() * 1000), 0, False
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A small window, so that a target that reads slowly holds up the writer.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        listener.bind((self.machine.ip, self.site.ports["app"]))
        self.server = await asyncio.start_server(
            self._serve, sock=listener, limit=1 << 16, backlog=1024)
        self.beats = asyncio.create_task(self._beat())
        self.record(f"target {self.id} ({self.service}) starts")

    def crash(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"target {self.id} crashes")

    async def call(self, method, body=b""):
        """Calls the control address; returns the status, None without an answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.machine.ip, self.site.ports["control"]), 1)
            writer.write(message(
                f"{method} /-/instances/{self.id} HTTP/1.1",
                ("Host: control", "Content-Type: application/json"), body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            return int(answer[0][1]) if answer else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer:
                writer.close()

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address":
                f"{self.machine.ip}:{self.site.ports['app']}",
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "warmupLeftMs": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def _beat(self):
        while True:
            await self.call("PUT", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def deliver_late(self, beat):
        status = await self.call("PUT", beat)
        self.record(f"target {self.id}: a heartbeat with sequence "
                    f"{json.loads(beat)['sequence']} arrives late, answered {status}")

    async def _read_body(self, reader, size):
        body = 0
        while body < size:
            part = await reader.read(min(size - body, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            body += len(part)
            if self.read_rate:
                await asyncio.sleep(len(part) / self.read_rate)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    return
                lines = head.decode("latin-1").split("\r\n")
                headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip()
                           for line in lines[1:] if line}
                target = lines[0].split(" ")[1]
                if target == "/health":
                    writer.write(message(
                        f"HTTP/1.1 {503 if self.leaving else 200} X",
                        (f"Samphirelb-Instance-Id: {self.id}",)))
                    continue
                self.arrivals[headers.get("samphirelb-attempt-id")] = time.monotonic()
                await self._read_body(reader, int(headers.get("content-length", 0)))
                writer.write(await self._answer(target, headers))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target, headers):
        attempt = headers.get("samphirelb-attempt-id", "")
        echo = f"Samphirelb-Attempt-Id: {attempt}"
        if not attempt:
            return message("HTTP/1.1 400 X", ("Samphirelb-Not-Executed: 1",))
        if headers.get("samphirelb-target-instance", self.id) != self.id:
            return message("HTTP/1.1 421 X", (echo,))
        self.runs.append((time.monotonic(), attempt))
        self.record(f"target {self.id} ({self.service}) runs {attempt} {target}")
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {attempt} ".encode().ljust(self.answer_bytes, b".")
        return message("HTTP/1.1 200 OK", (
            echo, f"Samphirelb-Response-Signature: {self.id}.{attempt}"), body)


class Machine:
    """A `sidecar` machine with its relay."""

    def __init__(self, site, name, zone, service, ip, store_ip):
        self.site, self.name, self.zone = site, name, zone
        self.service, self.ip, self.store_ip = service, ip, store_ip
        self.bounds = dict(BOUNDS)
        self.process, self.wanted, self.own_ends, self.peak_mb = None, False, 0, 0
        self.log = open(site.folder / f"{name}.log", "wb")

    def render_settings(self):
        fields = {"node": self.name, "zone": self.zone, "service": self.service,
                  "ip": self.ip, "seeds": "", "bounds": self.bounds,
                  "internalPorts": [self.site.ports["peer"], self.site.ports["metrics"]],
                  "listen": {name: f"{self.ip}:{self.site.ports[name]}"
                             for name in ("outbound", "ready", "control")},
                  "appAddr": f"{self.ip}:{self.site.ports['app']}",
                  "platform": {"address":
                               f"{self.store_ip}:{self.site.ports['store']}"},
                  "limits": {"memoryMb": MEMORY_MB, "fileDescriptors": 4100}}

        def value(match):
            found = fields
            for part in match.group(1).split("."):
                found = found[int(part)] if part.isdigit() else found[part]
            return str(found)

        template = (ROOT / "deploy" / "relay.settings").read_text()
        path = self.site.folder / f"{self.name}.settings"
        path.write_text(re.sub(r"\{\{([\w.]+)\}\}", value, template))
        return path

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["SAMPHIRE_SETTINGS_FILE"] = str(self.render_settings())
        self.process = subprocess.Popen(
            ["target/samphire-relay"], cwd=ROOT, env=environment, stdout=self.log,
            stderr=subprocess.STDOUT)
        self.wanted = True
        self.site.record(f"platform: {self.name}: relay starts as {self.process.pid}")

    def kill(self):
        self.wanted = False
        self.process.kill()
        self.process.wait()
        self.site.record(f"platform: {self.name}: relay is killed")

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0

    async def watch(self):
        """Kills the relay when it exceeds its memory; restarts it when it ended."""
        while True:
            await asyncio.sleep(0.004)
            if not self.wanted:
                continue
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.site.record(f"platform: {self.name}: relay uses {used:.0f} MB of "
                                 f"{MEMORY_MB} MB and is killed")
                self.process.kill()
            if self.process.poll() is not None:
                self.own_ends += 1
                self.wanted = False
                self.site.record(f"platform: {self.name}: relay ended by itself, "
                                 f"code {self.process.returncode}")
                await asyncio.sleep(RESTART_S)
                self.start()


class Site:
    def __init__(self, folder, machines):
        """`machines`: (name, zone, service) of each machine."""
        self.case_folder = pathlib.Path(folder)
        self.record = Record(self.case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="samphire-review-"))
        prefix, self.ports = self._find_addresses(len(machines))
        self.machines = [
            Machine(self, *entry, f"{prefix}.{number + 1}", f"{prefix}.{number + 101}")
            for number, entry in enumerate(machines)]
        self.store = Store(self)
        self.targets, self.tasks, self.attempts = [], [], 0

    @staticmethod
    def _find_addresses(count):
        names = ("store", "app", "outbound", "ready", "control", "peer", "metrics")
        rng = random.Random()
        for _ in range(50):
            prefix = f"127.{rng.randint(10, 250)}.{rng.randint(0, 250)}"
            first = rng.randint(12000, 30000)
            ports = {name: first + n for n, name in enumerate(names)}
            try:
                for host in [*range(1, count + 1), *range(101, count + 101)]:
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{host}", port))
                return prefix, ports
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def config(self, version, routes, services):
        """`routes`: name -> (prefix, kind, service, timeout in ms)."""
        return {"version": f"{version:08x}", "routes": {
            name: {"host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
                   "timeoutMs": timeout, "aimMs": 1500, "priority": 1, "maxAttempts": 2}
            for name, (prefix, kind, service, timeout) in routes.items()},
            "services": {name: {"healthPath": "/health", "maxConnections": 646,
                                "protocol": "h1", "tls": False} for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def open(self, config):
        await self.store.open()
        self.store.operate(config)
        for machine in self.machines:
            machine.start()
            self.tasks.append(asyncio.create_task(machine.watch()))

    def close(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def next_attempt(self):
        self.attempts += 1
        return f"r{self.attempts:05d}"

    async def send(self, machine, method, path, body=b"", deadline_ms=5000,
                   connection=None):
        """Sends one request; returns (attempt, status or None, body)."""
        attempt = self.next_attempt()
        size = f", {len(body)} bytes" if body else ""
        self.record(f"client at {machine.name} sends {attempt} {method} {path}{size}")
        reader = writer = None
        try:
            reader, writer = connection or await asyncio.wait_for(
                asyncio.open_connection(machine.ip, self.ports["outbound"]), 1)
            writer.write(message(f"{method} {path} HTTP/1.1", (
                f"Host: {HOST}", f"Samphirelb-Attempt-Id: {attempt}",
                f"Samphirelb-Deadline-Ms: {deadline_ms}"), body))
            answer = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000 + 0.5)
            outcome = (int(answer[0][1]), answer[2]) if answer else (None, b"")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = (None, type(error).__name__.encode())
        finally:
            if writer and not connection:
                writer.close()
        self.record(f"client at {machine.name} gets {outcome[0]} for {attempt}: "
                    f"{outcome[1][:40].decode('latin-1').strip()}")
        return attempt, *outcome

    async def is_ready(self, machine):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                machine.ip, self.ports["ready"]), 1)
            writer.write(message("GET /-/readiness HTTP/1.1", ("Host: ready",)))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(answer) and answer[0][1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_served(self, machines, path, seconds=20):
        """Waits until each machine serves an idempotent route; False if not."""
        end = time.monotonic() + seconds
        for machine in machines:
            while (await self.send(machine, "GET", path))[1] != 200:
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True


class CannotRun(Exception):
    pass


def main(folder, machines, play):
    """Plays the case; exits with 1 if the rule was broken, 0 if not, 2 if the case
    could not run. `play(site)` returns the violations."""
    site = None

    def on_timeout(*_):
        if site:
            site.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, on_timeout)
    try:
        site = Site(folder, machines)
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        # Connections of the stand-ins that the other side resets are no errors.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        violations = loop.run_until_complete(play(site))
        for violation in violations[:MAX_PRINTED]:
            site.record(f"BROKEN: {violation}")
        if len(violations) > MAX_PRINTED:
            site.record(f"BROKEN: {len(violations) - MAX_PRINTED} more")
        site.record(f"result: {'broken' if violations else 'held'}")
        print(f"{'broken' if violations else 'held'}: {len(violations)} violations"
              f"{', first: ' + violations[0] if violations else ''}")
        code = 1 if violations else 0
    except Exception as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        code = 2
    finally:
        if site:
            site.close()
    sys.stdout.flush()
    os._exit(code)
