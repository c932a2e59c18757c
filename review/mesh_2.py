"""Small deployment for the cases of the second review.

Starts the project's relays as separate processes with the command of
deploy/system.toml and with settings rendered from deploy/relay.settings. The store
is the project's own stand-in (scripts/soak/site_store.py); targets, clients and the
platform's checks are small stand-ins of this file. Every machine has a loopback
address of its own, and all machines use the same free ports, as on the users' pages.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "soak"))
from site_store import SiteStore  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORT_NAMES = ("peer", "metrics", "app", "outbound", "ready", "control")


def free_ports(addresses, count):
    """Ports that are free on all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 30000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def lookup(fields, path):
    for part in path.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return ",".join(fields) if isinstance(fields, list) else str(fields)


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started_at = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Machine:
    def __init__(self, mesh, index, zone, service):
        self.mesh, self.index = mesh, index
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"{mesh.network}.{index + 1}"
        self.zone, self.service = zone, service
        self.relay = None

    def at(self, port_name):
        return self.ip, self.mesh.ports[port_name]

    def text(self, port_name):
        return f"{self.ip}:{self.mesh.ports[port_name]}"

    def fields(self):
        ports, mesh = self.mesh.ports, self.mesh
        return {
            "node": self.name, "zone": self.zone, "service": self.service,
            "ip": self.ip, "internalPorts": [ports["peer"], ports["metrics"]],
            "listen": {name: self.text(name)
                       for name in ("outbound", "ready", "control")},
            "appAddr": self.text("app"),
            "platform": {"address": mesh.store_address}, "seeds": [],
            "bounds": {"budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 49,
                       "graceS": 6},
            "limits": {"memoryMb": mesh.memory_mb, "fileDescriptors": 4100}}

    def start_relay(self):
        text = re.sub(r"\{\{([\w.]+)\}\}",
                      lambda found: lookup(self.fields(), found.group(1)),
                      self.mesh.template)
        path = os.path.join(self.mesh.folder, f"{self.name}.settings")
        with open(path, "w") as file:
            file.write(text)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.mesh.folder,
                       "SAMPHIRE_SETTINGS_FILE": path}
        log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab")
        self.relay = subprocess.Popen(
            self.mesh.command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()


class Mesh:
    """`machines`: (zone, service) of each machine."""

    def __init__(self, machines, config, memory_mb=260):
        self.folder = tempfile.mkdtemp(prefix="samphire-review-")
        self.memory_mb = memory_mb
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.machines = [Machine(self, index, *machine)
                         for index, machine in enumerate(machines)]
        self.ports = dict(zip(PORT_NAMES, free_ports(
            [machine.ip for machine in self.machines], len(PORT_NAMES))))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["relay"]
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.store = SiteStore()
        self.config = config

    async def start(self):
        self.store.put("config", "main", self.config)
        server = await asyncio.start_server(self.store.serve, f"{self.network}.250", 0)
        self.store_server = server
        host, port = server.sockets[0].getsockname()
        self.store_address = f"{host}:{port}"
        for machine in self.machines:
            machine.start_relay()

    async def wait_ready(self, timeout_s=15):
        deadline = time.monotonic() + timeout_s
        for machine in self.machines:
            while await readiness(machine) != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for machine in self.machines:
            if machine.relay and machine.relay.poll() is None:
                machine.relay.kill()
        for machine in self.machines:
            if machine.relay:
                machine.relay.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader):
    """Returns the start line and the headers; raises IncompleteReadError."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def call(address, method, target, body=b"", timeout_s=1.0):
    """One call on a connection of its own; returns the status or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: c\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            start, headers = await read_message(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            return int(start[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


async def readiness(machine):
    return await call(machine.at("ready"), "GET", "/-/readiness")


class Heartbeats:
    """Heartbeats of one target, as the pages describe them."""

    def __init__(self, machine, slots, instance_id):
        self.machine, self.slots, self.id = machine, slots, instance_id
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.acknowledged = asyncio.Event()

    async def run(self, interval_s=1.5):
        while True:
            self.sequence += 1
            status = await call(
                self.machine.at("control"), "PUT", f"/-/instances/{self.id}",
                json.dumps({
                    "service": self.machine.service,
                    "address": self.machine.text("app"), "zone": self.machine.zone,
                    "version": "v1", "slots": self.slots, "state": "ready",
                    "warmupLeftMs": 0, "sequence": self.sequence,
                    "born": self.born}).encode())
            if status == 200:
                self.acknowledged.set()
            await asyncio.sleep(interval_s if status == 200 else 0.2)


def run_case(main, folder, time_limit_s=115):
    """Runs `main(record)`, which returns True if the rule held, and exits as the
    issue asks: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    code = 2
    try:
        async def bounded():
            # A signal cancels the case, so that it still ends what it has started.
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            async with asyncio.timeout(time_limit_s):
                return await main(record)
        held = asyncio.run(bounded())
        code = 0 if held else 1
    except BaseException as error:  # pylint: disable=broad-except
        record.line(f"case could not run: {error!r}")
        import traceback
        traceback.print_exc()
    record.line(f"result {code}: " + ("held", "broken", "could not run")[code])
    record.close()
    print(f"exit {code}", flush=True)
    sys.exit(code)


def config(routes, services, limits=None):
    return {
        "version": "00000007", "routes": routes, "baseVersion": "00000005",
        "services": {name: {"healthPath": "/health", "maxConnections": 646,
                            "protocol": "h1", "tls": False} for name in services},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, **(limits or {})}}


__all__ = ["Mesh", "Heartbeats", "Record", "TROUBLE", "call", "config",
           "read_message", "readiness", "run_case", "signal", "subprocess"]
