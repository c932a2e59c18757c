"""Runs one scenario once over real processes on loopback and measures it."""

import concurrent.futures
import json
import random
import signal
import tempfile
import threading
import time

import mesh
import scenario_file

CALLER_THREADS = 64
# After the scenario, for answers that are still to come.
DRAIN_SECONDS = 3.0
PORTS_PER_RUN = 200
LEAVING_SECONDS = 3.0


class ProcessRun:
    def __init__(self, build, scenario, seed, slot, baseline):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.port = 18000 + PORTS_PER_RUN * slot
        self.logs = tempfile.TemporaryDirectory()
        self.system = mesh.Mesh(
            build, self.logs.name, "baseline-daemon" if baseline else "samphire-daemon"
        )
        self.nodes = {}
        self.records = []
        self.lock = threading.Lock()
        self.stops = []
        self.kills = []
        self.leaving = {}
        self.highest = {}
        self.reverted = 0
        self.newest = 1

    def run(self):
        try:
            self.start()
            if not mesh.wait_until(self.settled, 30):
                return {"not_settled": 1.0}
            self.load()
            return self.figures()
        finally:
            for node in self.nodes.values():
                if node.daemon_process.poll() is None:
                    node.daemon_process.send_signal(signal.SIGCONT)
            self.system.stop()
            self.logs.cleanup()

    def start(self):
        self.platform = f"127.0.0.1:{self.port}"
        self.system.start_platform(self.platform)
        mesh.wait_until(lambda: mesh.fetch(self.platform, "/objects")[0] == 200)
        self.write_policy(self.scenario.policy(1))
        for number, line in enumerate(self.scenario.nodes):
            name = line.words[1]
            node = mesh.Node(
                name, line.option("domain", "a"), line.option("service", name),
                self.port + 3 * (number + 1),
            )
            self.nodes[name] = node
        self.seeds = [node.peer for node in list(self.nodes.values())[:2]]
        for line in self.scenario.nodes:
            self.system.add_node(
                self.nodes[line.words[1]],
                self.seeds,
                upstream_flags=(
                    "--slots", line.option("slots", "10"),
                    "--service-ms", str(int(1000 * line.time("time", "10ms"))),
                    "--calls", line.option("calls"),
                ),
            )

    def settled(self):
        return all(self.knows_all(node) for node in self.nodes.values())

    def knows_all(self, node):
        page = self.status(node)
        if page is None or page["revision"] < 1:
            return False
        announced = [m for m in page["members"] if m["service"]]
        return len(announced) == len(self.nodes)

    @staticmethod
    def status(node):
        code, _, body = mesh.fetch(node.http, "/status", timeout=1)
        page = json.loads(body) if code == 200 else {}
        # The page is empty until the daemon has taken its first event.
        return page if "revision" in page else None

    def write_policy(self, document):
        """An operator's write, without a check of the revision."""
        body = json.dumps(document).encode()
        for _ in range(50):
            _, headers, _ = mesh.fetch(self.platform, "/objects/policy", timeout=2)
            version = headers.get("Object-Version", "0")
            code, _, _ = mesh.fetch(
                self.platform, "/objects/policy", body,
                {"If-Match": version}, timeout=2, method="PUT",
            )
            if code == 200:
                self.newest = max(self.newest, document["revision"])
                return

    def load(self):
        begin = time.monotonic()
        jobs = []
        for line in self.scenario.loads:
            rate = float(line.option("rate", "1"))
            start, end = line.time("from", "0s"), line.time("to", "1s")
            for number in range(round(rate * (end - start))):
                at = start + (number + self.random.random()) / rate
                jobs.append((at, self.call, (line, number, begin)))
        for line in self.scenario.faults:
            at, spread = scenario_file.seconds(line.words[1])
            at += spread * self.random.random()
            jobs.append((at, self.inject, (line,)))
        jobs.sort(key=lambda job: job[0])
        with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
            watcher = pool.submit(self.watch_revisions, begin)
            for at, function, arguments in jobs:
                time.sleep(max(0.0, begin + at - time.monotonic()))
                pool.submit(function, *arguments)
            remaining = begin + self.scenario.duration - time.monotonic()
            time.sleep(max(0.0, remaining))
            watcher.result()
        time.sleep(DRAIN_SECONDS)

    def watch_revisions(self, begin):
        while time.monotonic() < begin + self.scenario.duration:
            for node in self.nodes.values():
                page = self.status(node)
                if page is None:
                    continue
                life = page["self"]["incarnation"]
                before = self.highest.get((node.name, life), 0)
                self.reverted += page["revision"] < before
                self.highest[(node.name, life)] = max(before, page["revision"])
            time.sleep(0.25)

    def call(self, line, number, begin):
        service, route = line.words[1].split("/", 1)
        body = line.option("body") or f"{route}-{line.words[1]}-{number}"
        entries = line.option("at").split(",") if line.option("at") else list(self.nodes)
        mode = line.option("resend", "none")
        ticket = None
        for attempt in range(1 + (int(line.option("times", "1")) if mode != "none" else 0)):
            entry = entries[(number + attempt) % len(entries)]
            headers = {"Samphire-Timeout-Ms": str(int(1000 * line.time("timeout", "2s")))}
            if mode == "key":
                headers["Idempotency-Key"] = f"key-{body}"
            if ticket:
                headers["Samphire-Ticket"] = ticket
            sent = time.monotonic()
            status, answer, got = mesh.fetch(
                self.nodes[entry].http, f"/call/{service}/{route}", body.encode(),
                headers, timeout=line.time("timeout", "2s") + 10,
            )
            outcome = answer.get("Samphire-Outcome", "lost")
            record = {
                "service": service, "route": route, "body": body, "entry": entry,
                "outcome": outcome, "sent": sent, "ended": time.monotonic(),
                "whole": got == body.encode() and status == 200,
                "timeout": line.time("timeout", "2s"),
            }
            with self.lock:
                self.records.append(record)
            ticket = answer.get("Samphire-Ticket")
            again = outcome != "completed" and (mode in ("key", "same") or ticket)
            if not again:
                return
            time.sleep(line.time("after", "100ms"))

    def inject(self, line):
        verb = line.words[2]
        target = line.words[3] if len(line.words) > 3 else ""
        if verb == "platform":
            self.inject_platform(line, target)
        elif verb == "document":
            leaving = [line.option("leaving")] if line.option("leaving") else []
            self.write_policy(
                self.scenario.policy(int(line.option("revision", "2")), leaving)
            )
        else:
            self.inject_node(line, verb, self.nodes[target])

    def inject_platform(self, line, target):
        faults = {}
        if target == "out":
            faults["outage"] = "silent"
        if line.option("lost"):
            faults["lost_percent"] = int(line.option("lost"))
        if line.option("slow"):
            faults["delay_ms"] = int(1000 * line.time("slow", "0s"))
        mesh.fetch(self.platform, "/control", json.dumps(faults).encode())

    def inject_node(self, line, verb, node):
        process = node.daemon_process
        now = time.monotonic()
        if verb in ("kill", "restart"):
            self.kills.append((node.name, now))
            process.kill()
            process.wait()
            if verb == "restart":
                self.system.start_daemon(node, self.seeds)
        elif verb == "freeze":
            process.send_signal(signal.SIGSTOP)
            time.sleep(line.time("for", "5s"))
            process.send_signal(signal.SIGCONT)
        elif verb == "drain":
            self.leaving[node.name] = now
            mesh.fetch(node.http, "/drain", b"")
        elif verb == "stop":
            self.stops.append(now)
            process.terminate()

    def was_killed(self, record):
        return any(
            name == record["entry"] and record["sent"] <= at + 0.05
            and at <= record["ended"] + 0.05
            for name, at in self.kills
        )

    def stopped_entry(self, record):
        # A daemon that has exited refuses connections; nothing was accepted.
        return record["ended"] - record["sent"] < 0.05

    def figures(self):
        result = dict.fromkeys(
            ("calls", "completed", "not_run", "unknown", "lost", "wrong_answers",
             "double_runs", "false_not_run", "cut_by_stop", "refused"), 0.0)
        result["late_ms_max"] = 0.0
        only_not_run = {}
        for record in self.records:
            work = f"{record['service']} {record['route']} {record['body']}"
            outcome = record["outcome"]
            result["calls"] += 1
            if outcome == "lost":
                if self.was_killed(record):
                    only_not_run[work] = False
                elif self.stopped_entry(record):
                    result["refused"] += 1
                else:
                    result["lost"] += 1
                continue
            only_not_run[work] = only_not_run.get(work, True) and outcome == "not-run"
            result[outcome.replace("-", "_")] += 1
            result["wrong_answers"] += outcome == "completed" and not record["whole"]
            late = record["ended"] - record["sent"] - record["timeout"]
            result["late_ms_max"] = max(result["late_ms_max"], 1000 * late)
            result["cut_by_stop"] += outcome == "unknown" and any(
                record["sent"] <= at <= record["ended"] for at in self.stops
            )
        self.count_runs(only_not_run, result)
        self.count_revisions(result)
        result["completed_share"] = result["completed"] / max(1.0, result["calls"])
        return result

    def count_runs(self, only_not_run, result):
        runs = {}
        for node in self.nodes.values():
            _, _, page = mesh.fetch(node.upstream, "/runs")
            for text in page.decode().splitlines():
                count, work = text.split(" ", 1)
                runs[work] = runs.get(work, 0) + int(count)
        for work, count in runs.items():
            service, route, _ = work.split(" ", 2)
            double = count > 1 and self.scenario.is_unrepeatable(service, route)
            result["double_runs"] += double
            result["false_not_run"] += only_not_run.get(work, False)

    def count_revisions(self, result):
        result["reverted"] = float(self.reverted)
        pages = [self.status(node) for node in self.nodes.values()]
        result["revision_behind"] = float(
            sum(1 for page in pages if page and page["revision"] != self.newest)
        )
