"""Runs a scenario once over real processes on loopback and collects figures."""

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
# Time after the scenario in which outstanding answers may arrive.
RESPONSE_WAIT_SECONDS = 3.0
PORTS_PER_RUN = 200
LEAVING_SECONDS = 3.0


class ProcessRun:
    def __init__(self, build, scenario, seed, port_slot, baseline):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.base_port = 18000 + PORTS_PER_RUN * port_slot
        self.log_folder = tempfile.TemporaryDirectory()
        self.system = mesh.Mesh(
            build,
            self.log_folder.name,
            "baseline-daemon" if baseline else "samphire-daemon"
        )
        self.nodes = {}
        self.call_records = []
        self.records_lock = threading.Lock()
        self.stop_times = []
        self.kills = []
        self.leaving_since = {}
        self.highest_revisions = {}
        self.reverted_count = 0
        self.newest_revision = 1

    def run(self):
        try:
            self.start_processes()
            if not mesh.wait_until(self.all_upstreams_discovered, 30):
                return {"not_settled": 1.0}
            self.run_load()
            return self.compute_figures()
        finally:
            for node in self.nodes.values():
                if node.daemon_process.poll() is None:
                    node.daemon_process.send_signal(signal.SIGCONT)
            self.system.stop()
            self.log_folder.cleanup()

    def start_processes(self):
        self.platform_address = f"127.0.0.1:{self.base_port}"
        self.system.start_platform(self.platform_address)
        mesh.wait_until(
            lambda: mesh.fetch(self.platform_address, "/objects")[0] == 200
        )
        self.write_policy(self.scenario.policy(1))
        for number, line in enumerate(self.scenario.nodes):
            name = line.words[1]
            node = mesh.Node(
                name, line.option("domain", "a"), line.option("service", name),
                self.base_port + 3 * (number + 1),
            )
            self.nodes[name] = node
        self.seeds = [node.peer_address for node in list(self.nodes.values())[:2]]
        for line in self.scenario.nodes:
            self.system.add_node(
                self.nodes[line.words[1]],
                self.seeds,
                upstream_flags=(
                    "--slots", line.option("slots", "10"),
                    "--service-ms", str(int(1000 * line.time_s("time", "10ms"))),
                    "--calls", line.option("calls"),
                ),
            )

    def all_upstreams_discovered(self):
        return all(
            self.has_discovered_all_upstreams(node) for node in self.nodes.values()
        )

    def has_discovered_all_upstreams(self, node):
        page = self.status(node)
        if page is None or page["revision"] < 1:
            return False
        upstream_members = [m for m in page["members"] if m["service"]]
        return len(upstream_members) == len(self.nodes)

    @staticmethod
    def status(node):
        status_code, _, body = mesh.fetch(node.http_address, "/status", timeout=1)
        page = json.loads(body) if status_code == 200 else {}
        # The page is empty until the daemon has handled its first event.
        return page if "revision" in page else None

    def write_policy(self, document):
        """Writes a policy document as an operator does, whatever its revision is."""
        body = json.dumps(document).encode()
        for _ in range(50):
            _, headers, _ = mesh.fetch(self.platform_address, "/objects/policy", timeout=2)
            object_version = headers.get("Object-Version", "0")
            status_code, _, _ = mesh.fetch(
                self.platform_address, "/objects/policy", body,
                {"If-Match": object_version}, timeout=2, method="PUT",
            )
            if status_code == 200:
                self.newest_revision = max(self.newest_revision, document["revision"])
                return

    def run_load(self):
        start_time = time.monotonic()
        jobs = []
        for line in self.scenario.loads:
            rate_per_s = float(line.option("rate", "1"))
            start_s, end_s = line.time_s("from", "0s"), line.time_s("to", "1s")
            for number in range(round(rate_per_s * (end_s - start_s))):
                offset_s = start_s + (number + self.random.random()) / rate_per_s
                jobs.append((offset_s, self.send_call, (line, number, start_time)))
        for line in self.scenario.faults:
            offset_s, jitter_s = scenario_file.parse_time_s(line.words[1])
            offset_s += jitter_s * self.random.random()
            jobs.append((offset_s, self.inject_fault, (line,)))
        jobs.sort(key=lambda job: job[0])
        with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
            watcher = pool.submit(self.watch_revisions, start_time)
            for offset_s, task, arguments in jobs:
                time.sleep(max(0.0, start_time + offset_s - time.monotonic()))
                pool.submit(task, *arguments)
            remaining_s = start_time + self.scenario.duration_s - time.monotonic()
            time.sleep(max(0.0, remaining_s))
            watcher.result()
        time.sleep(RESPONSE_WAIT_SECONDS)

    def watch_revisions(self, start_time):
        while time.monotonic() < start_time + self.scenario.duration_s:
            for node in self.nodes.values():
                page = self.status(node)
                if page is None:
                    continue
                incarnation = page["self"]["incarnation"]
                highest_before = self.highest_revisions.get((node.name, incarnation), 0)
                self.reverted_count += page["revision"] < highest_before
                self.highest_revisions[(node.name, incarnation)] = max(
                    highest_before, page["revision"]
                )
            time.sleep(0.25)

    def send_call(self, line, number, start_time):
        service, route = line.words[1].split("/", 1)
        body = line.option("body") or f"{route}-{line.words[1]}-{number}"
        entries = line.option("at").split(",") if line.option("at") else list(self.nodes)
        resend_mode = line.option("resend", "none")
        ticket = None
        for attempt in range(
            1 + (int(line.option("times", "1")) if resend_mode != "none" else 0)
        ):
            entry = entries[(number + attempt) % len(entries)]
            headers = {
                "Samphire-Timeout-Ms": str(int(1000 * line.time_s("timeout", "2s")))
            }
            if resend_mode == "key":
                headers["Idempotency-Key"] = f"key-{body}"
            if ticket:
                headers["Samphire-Ticket"] = ticket
            sent_at = time.monotonic()
            status, response_headers, response_body = mesh.fetch(
                self.nodes[entry].http_address, f"/call/{service}/{route}", body.encode(),
                headers, timeout=line.time_s("timeout", "2s") + 10,
            )
            outcome = response_headers.get("Samphire-Outcome", "lost")
            record = {
                "service": service, "route": route, "body": body, "entry": entry,
                "outcome": outcome, "sent": sent_at, "ended": time.monotonic(),
                "whole": response_body == body.encode() and status == 200,
                "timeout": line.time_s("timeout", "2s"),
            }
            with self.records_lock:
                self.call_records.append(record)
            ticket = response_headers.get("Samphire-Ticket")
            resend = outcome != "completed" and (resend_mode in ("key", "same") or ticket)
            if not resend:
                return
            time.sleep(line.time_s("after", "100ms"))

    def inject_fault(self, line):
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
            faults["delay_ms"] = int(1000 * line.time_s("slow", "0s"))
        mesh.fetch(self.platform_address, "/control", json.dumps(faults).encode())

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
            time.sleep(line.time_s("for", "5s"))
            process.send_signal(signal.SIGCONT)
        elif verb == "drain":
            self.leaving_since[node.name] = now
            mesh.fetch(node.http_address, "/drain", b"")
        elif verb == "stop":
            self.stop_times.append(now)
            process.terminate()

    def entry_was_killed(self, record):
        return any(
            name == record["entry"] and record["sent"] <= killed_at + 0.05
            and killed_at <= record["ended"] + 0.05
            for name, killed_at in self.kills
        )

    def entry_had_stopped(self, record):
        # A daemon that has exited refuses the connection at once, so it has not
        # accepted the request.
        return record["ended"] - record["sent"] < 0.05

    def compute_figures(self):
        figures = dict.fromkeys(
            ("calls", "completed", "not_run", "unknown", "lost", "wrong_answers",
             "double_runs", "false_not_run", "cut_by_stop", "refused"), 0.0)
        figures["late_ms_max"] = 0.0
        only_not_run = {}
        for record in self.call_records:
            work = f"{record['service']} {record['route']} {record['body']}"
            outcome = record["outcome"]
            figures["calls"] += 1
            if outcome == "lost":
                if self.entry_was_killed(record):
                    only_not_run[work] = False
                elif self.entry_had_stopped(record):
                    figures["refused"] += 1
                else:
                    figures["lost"] += 1
                continue
            only_not_run[work] = only_not_run.get(work, True) and outcome == "not-run"
            figures[outcome.replace("-", "_")] += 1
            figures["wrong_answers"] += outcome == "completed" and not record["whole"]
            late_s = record["ended"] - record["sent"] - record["timeout"]
            figures["late_ms_max"] = max(figures["late_ms_max"], 1000 * late_s)
            figures["cut_by_stop"] += outcome == "unknown" and any(
                record["sent"] <= stopped_at <= record["ended"]
                for stopped_at in self.stop_times
            )
        self.count_runs(only_not_run, figures)
        self.count_revisions(figures)
        figures["completed_share"] = figures["completed"] / max(1.0, figures["calls"])
        return figures

    def count_runs(self, only_not_run, figures):
        run_counts = {}
        for node in self.nodes.values():
            _, _, page = mesh.fetch(node.upstream_address, "/runs")
            for text in page.decode().splitlines():
                count, work = text.split(" ", 1)
                run_counts[work] = run_counts.get(work, 0) + int(count)
        for work, count in run_counts.items():
            service, route, _ = work.split(" ", 2)
            is_double_run = count > 1 and self.scenario.is_unrepeatable(service, route)
            figures["double_runs"] += is_double_run
            figures["false_not_run"] += only_not_run.get(work, False)

    def count_revisions(self, figures):
        figures["reverted"] = float(self.reverted_count)
        pages = [self.status(node) for node in self.nodes.values()]
        figures["revision_behind"] = float(
            sum(1 for page in pages if page and page["revision"] != self.newest_revision)
        )
