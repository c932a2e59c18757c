#!/usr/bin/env python3
"""Randomized soak of real samphire-relay processes on loopback.

Usage: soak.py RELAY [--seeds FIRST:LAST] [--seconds S] [--jobs N] [--logs DIR]
               [--vms N] [--clients N] [--no-restarts]

Each seed runs daemons, upstreams, a store and clients, and injects faults: it
sends signals to daemons, disturbs the connections to the store through a proxy,
lets upstreams crash, drain, lose or garble answers, and changes the policy.
A seed fails with one of these words when clients or upstreams observe that
  twice      an unrepeatable request was executed more than once
  refused    an unrepeatable request was refused (408, 421, 429 or 503) although
             it was executed
  mixed      a 200 response is not the upstream's complete answer to the request
  late       a request reached an upstream more than 2 s after the daemon had
             acknowledged that the upstream is draining
  told       a request reached an upstream more than 2.5 s after an answer had said
             that it is leaving
  crashes    in calm, a request that crashes upstreams reached them more than three
             times later than 3 s after the third crash
  limit      an upstream got more than one and a half times the rate that it had
             named 3 s before, and five requests, in 4 s
  gone       more than three requests reached an upstream more than 0.5 s after their
             client had left
  cut        after the faults, in a planned stop of one daemon, a request that its
             client had sent to that daemon got no complete answer, or an answer of
             the daemon's own while an upstream worked on it
  ended      a daemon ended by itself
  reverted   a daemon used an older policy after a newer one
  stale      a daemon does not use the newest policy after the faults, or 2 s after a
             change was acknowledged: by a store that has come back from a copy, 3 s
             after its return, or while the watchers of all domains are cut off from it
  recovered  fewer than nine in ten requests are served after the faults
Prints one line for each seed and exits with 1 if a check failed; those that
KNOWN-RED.txt lists are printed and not counted. Seeds that have
failed are listed in REGRESSIONS with the cause and are always run.
"""

import argparse
import asyncio
import logging
import os
import pathlib
import random
import re
import signal
import subprocess
import sys

sys.path.insert(0, os.path.dirname(__file__))

from fault_proxy import FaultProxy  # noqa: E402
from http_wire import read_response, write_request  # noqa: E402
from site_store import RawSpec, SiteStore  # noqa: E402
from site_upstream import SiteUpstream  # noqa: E402

# Seeds that have failed: (seed, cause).
REGRESSIONS = ()

SERVICES = ("alpha", "beta")
ENTRY_KIND = "samphire-upstreams"
GIVE_UP_RATIO = 0.1
GONE_AFTER_S, MAX_GONE = 0.5, 3
LEAVERS = 60
# Planned stop: grace times of the daemons; the time from the last byte of a request
# until which a daemon may close without having read it; and the request that may be
# cut, which was sent early in the grace and is at work in its last sixth.
GRACE_S, UNREAD_S = (4, 6, 10), 0.2
EARLY_IN_GRACE_S, LAST_SIXTH = 3.0, 5 / 6
# Entries that another writer leaves among those of the upstreams.
DEEP = "[" * 100_000 + "]" * 100_000
ODD_SPECS = (
    "7", "null", DEEP, '{"slots":1e999}', '{"daemon":"10.0.0.1:70000"}',
    '{"daemon":"%s","id":"odd","born":1,"service":"alpha","zone":"z","slots":-1,'
    '"phase":"ready"}',
    '{"daemon":"%s","id":"odd","born":18446744073709551615,"service":"alpha",'
    '"zone":"z","slots":4,"phase":"ready"}',
    '{"daemon":"%s","id":"odd","born":253402300799999,"service":"alpha","zone":"z",'
    '"slots":1000000,"phase":"ready"}',
    '{"daemon":"%s","id":"odd","born":1,"service":"beta","zone":"z","slots":4,'
    '"phase":"ready","deep":' + DEEP + '}',
)
# Errors of the clock at the start of an upstream, and for how long one that has
# announced its departure still runs.
CLOCK_OFFSETS_MS = (-5000, -1500, 0, 2400, 5000)
LINGER_S = (2.5, 7.0)
# A request that crashes upstreams comes CRASH_REQUESTS times; the upstreams are back
# after CRASH_DOWN_S.
CRASH_REQUESTS, CRASH_DOWN_S, CRASH_PAUSE_S = 5, (0.4, 2.5), (0.5, 3.5)
STABLE_WINDOW_S, MAX_LATE_CRASHES = 3.0, 3
RECOVERY_WAIT_S = 5.0
RECOVERY_CHECK_S = 2.0
# A change is in force after CONFIG_APPLY_S, at daemons that have been in touch for
# STABLE_WINDOW_S.
CONFIG_APPLY_S = 2.0
# Intervals of late heartbeats that arrive one after the other.
LATE_INTERVAL_S = (0.3, 2.5)
# Time after late heartbeats in which requests to an upstream that has left show.
LATE_CHECK_S = 4.0


class Soak:
    def __init__(self, relay, seed, seconds, logs, vms, clients, restarts):
        self.has_restarts = restarts
        self.vms, self.clients_per_vm = vms, clients
        self.relay, self.fault_duration_s, self.logs = relay, seconds, logs
        self.random = random.Random(seed)
        self.seed = seed
        self.grace_s = GRACE_S[seed % len(GRACE_S)]
        self.network_prefix = f"127.{1 + seed // 200 % 250}.{seed % 200}"
        self.run_counts, self.refused_attempts, self.violations = {}, [], []
        self.unrepeatable = set()
        # Monotonic times: when a client left, and when a request last arrived.
        self.left_at, self.arrivals = {}, {}
        self.processes, self.log_files = {}, {}
        self.policy_version = 1
        self.counts = {"sent": 0, "served": 0}
        self.ended = False
        # Time of the planned stop at the end, and the daemon that is stopped.
        self.stopped_at, self.stopped_vm = None, None
        # VMs whose daemon or upstream is being restarted by a fault.
        self.restarting_daemons, self.changing_upstreams = set(), set()
        self.next_attempt = 0
        # The way of each VM to the store.
        self.proxies = []

    def host(self, vm):
        return f"{self.network_prefix}.{vm + 1}"

    def change_policy(self):
        self.policy_version += self.random.randint(1, 3)
        route = {"host": "h", "maxAttempts": 2, "timeoutMs": 2500, "aimMs": 400}
        routes = {}
        for service in SERVICES:
            routes[f"r-{service}"] = {
                **route, "pathPrefix": f"/{service}/r/", "kind": "idempotent",
                "priority": 1, "service": service}
            routes[f"w-{service}"] = {
                **route, "pathPrefix": f"/{service}/w/", "kind": "non_idempotent",
                "priority": 0, "service": service}
            routes[f"l-{service}"] = {
                **route, "pathPrefix": f"/{service}/l/", "kind": "non_idempotent",
                "priority": 0, "service": service, "timeoutMs": 5000}
        routes["version"] = {
            **route, "pathPrefix": f"/version/{self.policy_version}/",
            "kind": "idempotent", "priority": 1, "service": SERVICES[0]}
        services = {s: {"healthPath": "/health", "maxConnections": 50} for s in SERVICES}
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put("config", "main", {
            "version": f"{self.policy_version:08x}", "routes": routes,
            "services": services, "limits": limits})

    def start_daemon(self, vm):
        host = self.host(vm)
        settings = {
            "daemon-id": f"vm{vm}", "domain": f"zone{vm % 2}",
            "service": SERVICES[vm % 2], "peer-address": f"{host}:7620",
            "client-address": f"{host}:8304", "ready-address": f"{host}:8302",
            "control-address": f"{host}:8306", "upstream-address": f"{host}:8301",
            "store-address": f"{self.network_prefix}.200:{8309 + vm}",
            "peer-secret": "soak",
            "stop-grace-s": str(self.grace_s),
            "repeat-ratio": "0.2", "repeat-slack": "49", "log-lines": "200"}
        arguments = [f"--{name}={value}" for name, value in settings.items()]
        self.processes[vm] = subprocess.Popen(
            [self.relay, *arguments], stdout=self.log_files[vm],
            stderr=subprocess.STDOUT)

    async def run_client(self, vm, client_number):
        rng = random.Random(f"{self.seed}.{vm}.{client_number}")
        connection = None
        while not self.ended:
            await asyncio.sleep(rng.uniform(0.0, 0.08))
            is_write = rng.random() < 0.5
            self.next_attempt += 1
            attempt = f"{self.seed}-{self.next_attempt}"
            target = f"/{rng.choice(SERVICES)}/{'w' if is_write else 'r'}/{attempt}"
            body = b"x" * rng.choice((0, 10, 5000, 100000)) if is_write else b""
            if is_write:
                self.unrepeatable.add(attempt)
            self.counts["sent"] += 1
            try:
                if connection is None:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(self.host(vm), 8304), 1)
                reader, writer = connection
                await write_request(
                    writer, "POST" if is_write else "GET", target,
                    ("Host: h", f"Samphirelb-Attempt-Id: {attempt}",
                     "Samphirelb-Deadline-Ms: 2000"), body)
                if rng.random() < GIVE_UP_RATIO:
                    self.counts["sent"] -= 1
                    await asyncio.sleep(rng.uniform(0, 0.1))
                    writer.close()
                    connection = None
                    self.left_at[attempt] = asyncio.get_running_loop().time()
                    continue
                response = await asyncio.wait_for(read_response(reader), 2.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if connection:
                    connection[1].close()
                connection = None
                continue
            self.check_response(attempt, target, body, is_write, response)
            if response.headers.get("connection", "") == "close":
                writer.close()
                connection = None

    async def uses_policy(self, vm, version):
        """Returns None when the daemon gives no answer that tells."""
        self.next_attempt += 1
        attempt = f"{self.seed}-{self.next_attempt}"
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host(vm), 8304), 1)
            try:
                await write_request(
                    writer, "GET", f"/version/{version}/x",
                    ("Host: h", f"Samphirelb-Attempt-Id: {attempt}",
                     "Samphirelb-Deadline-Ms: 1000"))
                status = (await asyncio.wait_for(read_response(reader), 1.5)).status
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        # Without a policy a daemon answers 503 to everything.
        return {404: False, 200: True}.get(status)

    async def check_policy_order(self, vm):
        """Asks for the routes of the last two policies again and again."""
        newest_used, process = 0, None
        versions = []
        while not self.ended:
            await asyncio.sleep(0.1)
            if process is not self.processes[vm]:
                newest_used, process = 0, self.processes[vm]
            version = self.policy_version
            versions = (versions + [version])[-2:] if version not in versions else versions
            for asked in sorted(versions):
                used = await self.uses_policy(vm, asked)
                if used and process is self.processes[vm]:
                    if asked < newest_used:
                        self.violations.append(f"reverted vm{vm}")
                    newest_used = max(newest_used, asked)

    async def run_long_client(self, vm, client_number):
        """Sends long requests that must not be repeated, through a planned stop."""
        rng = random.Random(f"{self.seed}.l{vm}.{client_number}")
        loop = asyncio.get_running_loop()
        connection = None
        while not self.ended:
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            self.next_attempt += 1
            attempt = f"{self.seed}-{self.next_attempt}"
            self.unrepeatable.add(attempt)
            sent_at, status = None, None
            try:
                if connection is None:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(self.host(vm), 8304), 1)
                reader, writer = connection
                target = f"/{rng.choice(SERVICES)}/l/{attempt}"
                await write_request(
                    writer, "POST", target,
                    ("Host: h", f"Samphirelb-Attempt-Id: {attempt}",
                     "Samphirelb-Deadline-Ms: 5000"), b"x")
                sent_at = loop.time()
                response = await asyncio.wait_for(read_response(reader), 6)
                status = response.status
                self.check_response(attempt, target, b"x", True, response)
                if response.headers.get("connection", "") == "close":
                    raise ConnectionError
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if connection:
                    connection[1].close()
                connection = None
            if sent_at is not None:
                self.check_cut(vm, attempt, sent_at, loop.time(), status)

    def check_cut(self, vm, attempt, sent_at, ended_at, status):
        stopped_at = self.stopped_at
        if vm != self.stopped_vm or stopped_at is None or ended_at < stopped_at:
            return
        is_excused = (sent_at <= stopped_at + EARLY_IN_GRACE_S
                      and ended_at >= stopped_at + LAST_SIXTH * self.grace_s)
        was_passed_on = attempt in self.arrivals
        is_unread = not was_passed_on and ended_at <= sent_at + UNREAD_S
        is_at_work = any(attempt in u.at_work for u in self.upstreams)
        is_cut = status is None and not is_unread
        is_replaced = status in (502, 504) and is_at_work
        if (is_cut or is_replaced) and not is_excused:
            self.violations.append(
                f"cut {attempt} sent {sent_at - stopped_at:.2f} s after the signal, "
                f"ended after {ended_at - stopped_at:.2f} s with {status}")

    async def leave_in_outage(self):
        """An upstream leaves while the store is down, all daemons are killed, and the
        last heartbeats of the upstream arrive late."""
        rng = random.Random(f"{self.seed}.leave")
        upstream = self.upstreams[rng.randrange(self.vms)]
        self.store.outage = "refuse"
        await asyncio.sleep(rng.uniform(0.1, 1))
        await upstream.withdraw()
        await asyncio.sleep(rng.uniform(0, 1))
        await self.restart_daemons(range(self.vms), signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0, 1.5))
        self.store.outage = None
        await asyncio.sleep(rng.uniform(0, 1.5))
        await upstream.send_late_heartbeats(rng.randint(1, 3))
        await asyncio.sleep(LATE_CHECK_S)
        await upstream.stop()
        await upstream.start()
        await asyncio.sleep(RECOVERY_CHECK_S)

    async def leave_unheard(self):
        """An upstream leaves before its daemon, which has been restarted, has had a
        heartbeat of it; the daemon is restarted once more, and the last heartbeats of
        the upstream arrive late."""
        rng = random.Random(f"{self.seed}.unheard")
        # An upstream without health checks is opened by heartbeats in the end.
        candidates = [u for u in self.upstreams if u.answers_health]
        if not candidates:
            return
        upstream = rng.choice(candidates)
        upstream.hold_heartbeats()
        await self.restart_daemons((upstream.vm,), signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        await upstream.withdraw()
        await asyncio.sleep(rng.uniform(0, 0.5))
        is_planned = rng.random() < 0.5
        await self.restart_daemons(
            (upstream.vm,), signal.SIGTERM if is_planned else signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        await upstream.send_late_heartbeats(
            rng.randint(2, 4), rng.uniform(*LATE_INTERVAL_S))
        await asyncio.sleep(LATE_CHECK_S / 2)
        await upstream.stop()
        await upstream.start()
        await asyncio.sleep(RECOVERY_CHECK_S)

    async def check_policy(self, vms):
        for vm in vms:
            if await self.uses_policy(vm, self.policy_version) is False:
                self.violations.append(f"stale vm{vm} version {self.policy_version}")

    async def restore_store(self):
        """The store comes back from a copy, once or twice, and the policy changes."""
        rng = random.Random(f"{self.seed}.restore")
        saved = self.store.copy()
        for _ in range(rng.randint(0, 2)):
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            self.change_policy()
        for _ in range(rng.randint(1, 2)):
            self.store.outage = rng.choice(("refuse", "silent", "lost"))
            for proxy in self.proxies:
                proxy.reset_all()
            await asyncio.sleep(rng.uniform(0.05, 2))
            self.store.restore(saved)
            # The operator writes again what the store has lost; here the newest.
            self.change_policy()
            self.store.outage = None
            for proxy in self.proxies:
                proxy.reset_all()
            await asyncio.sleep(rng.uniform(0, 0.5))
        returned_at = asyncio.get_running_loop().time()
        await asyncio.sleep(rng.uniform(0, 1))
        self.change_policy()
        in_force_at = asyncio.get_running_loop().time() + CONFIG_APPLY_S
        await asyncio.sleep(max(
            in_force_at, returned_at + STABLE_WINDOW_S)
            - asyncio.get_running_loop().time())
        await self.check_policy(range(self.vms))

    async def is_watcher(self, vm):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host(vm), 8302), 1)
            try:
                await write_request(writer, "GET", "/metrics", ("Host: m",))
                body = (await asyncio.wait_for(read_response(reader), 1)).body
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return b"samphire_policy_watched 1" in body

    async def cut_watchers(self):
        """The daemons that watch the policy are cut off from the store, and the policy
        changes."""
        rng = random.Random(f"{self.seed}.watchers")
        watchers = {vm for vm in range(self.vms) if await self.is_watcher(vm)}
        in_touch = set(range(self.vms)) - watchers
        mode = rng.choice(("refuse", "silent"))
        for vm in watchers:
            self.proxies[vm].mode = mode
            if mode == "refuse":
                self.proxies[vm].reset_all()
        await asyncio.sleep(rng.uniform(0, 1))
        self.change_policy()
        await asyncio.sleep(CONFIG_APPLY_S)
        await self.check_policy(in_touch)
        for vm in watchers:
            self.proxies[vm].mode = None
            self.proxies[vm].reset_all()

    async def stop_in_calm(self):
        """Stops one daemon as planned while long requests arrive and run."""
        vm = self.random.randrange(self.vms)
        clients = [asyncio.create_task(self.run_long_client(vm, n)) for n in range(3)]
        await asyncio.sleep(2)
        self.stopped_vm = vm
        self.stopped_at = asyncio.get_running_loop().time()
        self.restarting_daemons.add(vm)
        self.processes[vm].send_signal(signal.SIGTERM)
        await asyncio.to_thread(self.processes[vm].wait)
        self.start_daemon(vm)
        self.restarting_daemons.discard(vm)
        return clients

    def leave_odd_entry(self):
        """Another writer replaces a daemon's entry or adds one of its own."""
        vm = self.random.randrange(self.vms)
        names = [name for kind, name in self.store.objects if kind == ENTRY_KIND]
        name = self.random.choice(names + ["odd", "0 odd&name=x"])
        spec = self.random.choice(ODD_SPECS)
        address = f"{self.host(vm)}:7620"
        self.store.put(ENTRY_KIND, name, RawSpec(spec.replace("%s", address)))
        if self.random.random() < 0.3:
            self.store.put("config", "odd", RawSpec(spec))

    async def send_leavers(self, vm):
        """Many clients send a request that has to wait, and leave at once."""
        for upstream in self.upstreams:
            upstream.slowdown = 12.0
        await asyncio.gather(*(self.send_and_leave(vm) for _ in range(LEAVERS)))
        await asyncio.sleep(2)
        for upstream in self.upstreams:
            upstream.slowdown = 1.0

    async def send_and_leave(self, vm):
        self.next_attempt += 1
        attempt = f"{self.seed}-{self.next_attempt}"
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host(vm), 8304), 1)
            await write_request(
                writer, "GET", f"/{SERVICES[0]}/r/{attempt}",
                ("Host: h", f"Samphirelb-Attempt-Id: {attempt}",
                 "Samphirelb-Deadline-Ms: 2500"))
            await asyncio.sleep(0.1)
            writer.close()
            self.left_at[attempt] = asyncio.get_running_loop().time()
        except (OSError, asyncio.TimeoutError):
            pass

    async def watch_processes(self):
        while not self.ended:
            await asyncio.sleep(0.1)
            for vm, process in list(self.processes.items()):
                if vm in self.restarting_daemons or process.poll() is None:
                    continue
                self.violations.append(f"ended vm{vm} with {process.returncode}")
                self.start_daemon(vm)

    def check_response(self, attempt, target, body, is_write, response):
        if response.status == 200:
            self.counts["served"] += 1
            expected_body = f"{target} {len(body)}".encode()
            signature = response.headers.get("samphirelb-response-signature")
            if response.body != expected_body or signature != attempt:
                self.violations.append(f"mixed {attempt}")
        elif is_write and response.status in (503, 429, 408, 421):
            self.refused_attempts.append(attempt)

    async def restart_daemons(self, vms, signal_number):
        victims = [vm for vm in vms if vm not in self.restarting_daemons]
        self.restarting_daemons.update(victims)
        for victim in victims:
            self.processes[victim].send_signal(signal_number)
        for victim in victims:
            await asyncio.to_thread(self.processes[victim].wait)
            self.start_daemon(victim)
            self.restarting_daemons.discard(victim)

    async def inject_fault(self):
        rng = self.random
        vm = rng.randrange(self.vms)
        process, upstream = self.processes[vm], self.upstreams[vm]
        kind = rng.choice((
            "kill", "kill", "pause", "stop", "hup", "store", "store", "proxy",
            "crash", "replace", "lose", "garble", "policy", "policy", "herd", "limit",
            "leave", "slow", "copy", "odd", "odd", "storm", "leavers"))
        if kind in ("kill", "stop", "herd"):
            await self.restart_daemons(
                range(self.vms) if kind == "herd" else (vm,),
                signal.SIGTERM if kind == "stop" else signal.SIGKILL)
        elif vm in self.changing_upstreams:
            return
        elif kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, 2.5))
            process.send_signal(signal.SIGCONT)
        elif kind == "hup":
            process.send_signal(signal.SIGHUP)
        elif kind == "store":
            self.store.outage = rng.choice(("refuse", "silent", "lost"))
            await asyncio.sleep(rng.uniform(0.3, 2))
            self.store.outage = None
        elif kind == "proxy":
            mode = rng.choice(("delay", "silent", "one_way", None))
            for proxy in self.proxies:
                proxy.mode = mode
                if mode is None:
                    proxy.reset_all()
            await asyncio.sleep(rng.uniform(0.3, 2))
            for proxy in self.proxies:
                proxy.mode = None
                proxy.reset_all()
        elif kind == "crash":
            self.changing_upstreams.add(vm)
            await upstream.stop()
            await asyncio.sleep(rng.uniform(0.1, 1))
            await upstream.start()
            self.changing_upstreams.discard(vm)
        elif kind == "replace":
            self.changing_upstreams.add(vm)
            upstream.draining = True
            await asyncio.sleep(4)
            await upstream.stop()
            await upstream.start()
            self.changing_upstreams.discard(vm)
        elif kind == "leave":
            self.changing_upstreams.add(vm)
            upstream.leaving = True
            await asyncio.sleep(5)
            await upstream.stop()
            await upstream.start()
            self.changing_upstreams.discard(vm)
        elif kind == "limit":
            self.changing_upstreams.add(vm)
            upstream.set_limit(rng.uniform(2, 15))
            await asyncio.sleep(rng.uniform(4, 9))
            upstream.set_limit(None)
            self.changing_upstreams.discard(vm)
        elif kind == "slow":
            upstream.slowdown = rng.uniform(3, 12)
            await asyncio.sleep(rng.uniform(1, 4))
            upstream.slowdown = 1.0
        elif kind == "odd":
            self.leave_odd_entry()
        elif kind in ("lose", "garble", "copy"):
            name = f"{kind}_ratio"
            setattr(upstream, name, rng.uniform(0.05, 0.5))
            await asyncio.sleep(rng.uniform(0.5, 2))
            setattr(upstream, name, 0.0)
        elif kind == "policy":
            self.change_policy()
        elif kind == "leavers":
            await self.send_leavers(vm)
        elif kind == "storm":
            for _ in range(rng.randint(3, 8)):
                self.change_policy()
                await asyncio.sleep(rng.uniform(0.01, 0.3))

    async def restart_upstreams(self):
        """Restarts upstreams one after the other, beside the other faults: with an
        announced departure, with a wrong clock, under the same id or a new one."""
        rng = random.Random(f"{self.seed}.restarts")
        end = asyncio.get_running_loop().time() + self.fault_duration_s
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(rng.uniform(0.1, 1))
            vm = rng.randrange(self.vms)
            if vm in self.changing_upstreams:
                continue
            self.changing_upstreams.add(vm)
            upstream = self.upstreams[vm]
            for _ in range(rng.randint(1, 3)):
                departure = rng.choice(("none", "withdraw", "drain"))
                if departure == "withdraw":
                    await upstream.withdraw()
                upstream.draining = departure == "drain"
                if departure != "none":
                    await asyncio.sleep(rng.uniform(*LINGER_S))
                await upstream.stop()
                await asyncio.sleep(rng.uniform(0.1, 1))
                await upstream.start(
                    rng.choice((upstream.instance_id, None)),
                    rng.choice(CLOCK_OFFSETS_MS))
                await asyncio.sleep(rng.uniform(0.2, 2.5))
            self.changing_upstreams.discard(vm)

    async def crash_upstreams(self):
        """Sends a request that crashes each upstream, while nothing else is sent."""
        rng = random.Random(f"{self.seed}.crash")
        service_vms = range(0, self.vms, len(SERVICES))
        upstreams = [self.upstreams[vm] for vm in service_vms]

        async def restart(upstream):
            crashes = len(upstream.crash_times)
            while True:
                await asyncio.sleep(0.05)
                if len(upstream.crash_times) > crashes:
                    await asyncio.sleep(rng.uniform(*CRASH_DOWN_S))
                    crashes = len(upstream.crash_times)
                    await upstream.start()

        restarts = [asyncio.create_task(restart(u)) for u in upstreams]
        for _ in range(CRASH_REQUESTS):
            vm = rng.choice(service_vms)
            # Some clients retry once after a failure.
            for _ in range(rng.randint(1, 2)):
                if await self.send_crash_request(vm) == 200:
                    break
            await asyncio.sleep(rng.uniform(*CRASH_PAUSE_S))
        for task in restarts:
            task.cancel()
        times = sorted(t for u in upstreams for t in u.crash_times)
        late = [t for t in times[3:] if t > times[2] + STABLE_WINDOW_S]
        if len(late) > MAX_LATE_CRASHES:
            self.violations.append(f"crashes {len(times)} late {len(late)}")

    async def send_crash_request(self, vm):
        """Returns the status of the answer, or None."""
        self.next_attempt += 1
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host(vm), 8304), 1)
            try:
                await write_request(
                    writer, "GET", f"/{SERVICES[0]}/r/crash/x",
                    ("Host: h", f"Samphirelb-Attempt-Id: {self.seed}-{self.next_attempt}",
                     "Samphirelb-Deadline-Ms: 2000"))
                return (await asyncio.wait_for(read_response(reader), 2.5)).status
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def inject_faults(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + self.fault_duration_s
        running = set()
        if self.has_restarts:
            running.add(asyncio.create_task(self.restart_upstreams()))
        while loop.time() < end:
            task = asyncio.create_task(self.inject_fault())
            running.add(task)
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    async def run(self):
        self.store = SiteStore()
        await asyncio.start_server(self.store.serve, f"{self.network_prefix}.201", 8309)
        for vm in range(self.vms):
            proxy = FaultProxy((f"{self.network_prefix}.201", 8309))
            await proxy.start(f"{self.network_prefix}.200", 8309 + vm)
            self.proxies.append(proxy)
        self.change_policy()
        self.upstreams = []
        for vm in range(self.vms):
            host = self.host(vm)
            self.log_files[vm] = open(self.logs / f"seed{self.seed}-vm{vm}.log", "wb")
            self.start_daemon(vm)
            upstream = SiteUpstream(
                vm, SERVICES[vm % 2], f"{host}:8301", f"{host}:8306", self.run_counts,
                self.arrivals, random.Random(f"{self.seed}.u{vm}"))
            await upstream.start()
            self.upstreams.append(upstream)
        await asyncio.sleep(2)
        clients = [asyncio.create_task(self.run_client(vm, n))
                   for vm in range(self.vms) for n in range(self.clients_per_vm)]
        clients += [asyncio.create_task(self.check_policy_order(vm))
                    for vm in range(min(self.vms, 5))]
        clients.append(asyncio.create_task(self.watch_processes()))
        await self.inject_faults()
        await asyncio.sleep(RECOVERY_WAIT_S)
        before = dict(self.counts)
        await asyncio.sleep(RECOVERY_CHECK_S)
        sent = self.counts["sent"] - before["sent"]
        served = self.counts["served"] - before["served"]
        await self.check_policy(range(self.vms))
        if self.has_restarts:
            await self.leave_in_outage()
            await self.leave_unheard()
            await self.restore_store()
            await self.cut_watchers()
        clients += await self.stop_in_calm()
        self.ended = True
        await asyncio.gather(*clients)
        await asyncio.sleep(1)
        if self.has_restarts:
            await self.crash_upstreams()
        self.check_results(sent, served)

    def check_results(self, sent, served):
        for attempt in self.unrepeatable:
            if self.run_counts.get(attempt, 0) > 1:
                self.violations.append(f"twice {attempt}")
        self.violations += [
            f"refused {a}" for a in self.refused_attempts if self.run_counts.get(a)]
        self.violations += [f"late vm{u.vm}" for u in self.upstreams if u.late_arrivals]
        self.violations += [
            f"told vm{u.vm}" for u in self.upstreams if u.late_told_arrivals]
        self.violations += [
            f"limit vm{u.vm}" for u in self.upstreams if u.excess_arrivals]
        gone = [a for a, left in self.left_at.items()
                if self.arrivals.get(a, 0) > left + GONE_AFTER_S]
        if len(gone) > MAX_GONE:
            self.violations.append(f"gone {len(gone)} first {gone[0]}")
        if sent == 0 or served < 0.9 * sent:
            self.violations.append(f"recovered {served}/{sent}")

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def known_red_checks():
    """Returns the words that KNOWN-RED.txt lists as "soak-check=WORD"."""
    path = pathlib.Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
    return set(re.findall(r"soak-check=(\w+)", path.read_text()))


def run_seed(options):
    soak = Soak(options.relay, options.one, options.seconds, options.logs,
                options.vms, options.clients, options.restarts)
    # Suppresses the errors that asyncio logs about connections of the stand-ins
    # that are open when the event loop ends.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        asyncio.run(soak.run())
    finally:
        soak.close()
    known_red = known_red_checks()
    failures = [v for v in soak.violations if v.split()[0] not in known_red]
    result = "fail" if failures else "known-red" if soak.violations else "pass"
    print(f"soak={soak.seed} result={result} sent={soak.counts['sent']} "
          f"served={soak.counts['served']} wrong={','.join(soak.violations[:5])}",
          flush=True)
    return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("relay")
    parser.add_argument("--seeds", default="1:3")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("out/soak"))
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--clients", type=int, default=3)
    # Without restarts of upstreams and requests that crash them, a seed plays what it
    # played before these faults were added.
    parser.add_argument(
        "--restarts", action=argparse.BooleanOptionalAction, default=True)
    parser.add_argument("--one", type=int)
    options = parser.parse_args()
    options.logs.mkdir(parents=True, exist_ok=True)
    if options.one is not None:
        code = run_seed(options)
        # Exits without waiting for connections of the stand-ins that are still open.
        os._exit(code)
    first, last = (int(part) for part in options.seeds.split(":"))
    seeds = [seed for seed, _ in REGRESSIONS] + list(range(first, last + 1))
    running, failed = [], 0
    while seeds or running:
        while seeds and len(running) < options.jobs:
            running.append(subprocess.Popen([
                sys.executable, "-W", "ignore", __file__, options.relay, "--one", str(seeds.pop(0)),
                "--seconds", str(options.seconds), "--vms", str(options.vms),
                "--clients", str(options.clients), "--logs", str(options.logs),
                "--restarts" if options.restarts else "--no-restarts"],
                stderr=open(options.logs / "stderr.txt", "ab")))
        oldest = running.pop(0)
        failed += oldest.wait() != 0
    print(f"soak seeds failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
