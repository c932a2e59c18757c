"""Measurements over real processes on loopback.

Prints one line for each figure:
measure=NAME policy=NAME value=X unit=U target=X
"""

import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

import mesh

BASE_PORT = 18000
PLATFORM = "127.0.0.1:17999"
SEED = 1
LATENCY_ROUNDS = 5
LATENCY_RATE = 200
LATENCY_ROUND_MS = 3000
LATENCY_WARM_UP_MS = 500
THROUGHPUT_ROUND_MS = 3000
# A rate counts as carried when this share of the calls got a whole answer
# within the caller's time and the median stays short.
THROUGHPUT_SHARE = 0.99
THROUGHPUT_P50_MS = 50
THROUGHPUT_RATES = (1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000)
TARGET_P99_MS = 0.74
POLICIES = {"product": "samphire-daemon", "baseline": "baseline-daemon"}


def show(name, policy, value, unit, target="none"):
    print(
        f"measure={name} policy={policy} value={value:.4g} unit={unit} "
        f"target={target}",
        flush=True,
    )


class Pair:
    """One entry daemon and one guard daemon with its upstream."""

    def __init__(self, build, policy):
        self.build = pathlib.Path(build)
        self.logs = tempfile.TemporaryDirectory()
        self.mesh = mesh.Mesh(build, self.logs.name, POLICIES[policy])
        self.entry = mesh.Node("entry-1", "a", "front", BASE_PORT)
        self.guard = mesh.Node("guard-1", "a", "echo", BASE_PORT + 10)

    def __enter__(self):
        seeds = [self.entry.peer]
        self.mesh.start_platform(PLATFORM)
        for node in (self.entry, self.guard):
            flags = ("--slots", "500", "--service-ms", "0")
            self.mesh.add_node(
                node, seeds, ("--log-level", "2"), upstream_flags=flags
            )
        if not mesh.wait_until(self.serves):
            raise RuntimeError("the pair does not serve")
        return self

    def __exit__(self, *_):
        self.mesh.stop()
        self.logs.cleanup()

    def serves(self):
        status, _, _ = mesh.fetch(self.entry.http, "/call/echo/run", b"ready")
        return status == 200

    def load(self, address, seed, rate, length_ms, *flags):
        done = subprocess.run(
            [
                str(self.build / "samphire-load"),
                "--entries", address,
                "--routes", "echo/run",
                "--rate", str(rate),
                "--length-ms", str(length_ms),
                "--warm-up-ms", str(LATENCY_WARM_UP_MS),
                "--seed", str(seed),
                *flags,
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        return json.loads(done.stdout.splitlines()[-1])["routes"][0]

    def processor_seconds(self):
        """Time that the threads of both daemons ran, and waited to run."""
        ran = waited = 0
        for node in self.mesh.nodes:
            tasks = pathlib.Path(f"/proc/{node.daemon_process.pid}/task")
            for file in tasks.glob("*/schedstat"):
                fields = file.read_text().split()
                ran += int(fields[0])
                waited += int(fields[1])
        return ran / 1e9, waited / 1e9


def added_latency(build, policy):
    """Through entry and guard, minus a direct call to the same upstream."""
    direct, through = [], []
    ran = waited = 0
    with Pair(build, policy) as pair:
        for number in range(LATENCY_ROUNDS):
            run = (SEED + number, LATENCY_RATE, LATENCY_ROUND_MS)
            direct.append(pair.load(pair.guard.upstream, *run, "--direct=true"))
            before = pair.processor_seconds()
            through.append(pair.load(pair.entry.http, *run))
            after = pair.processor_seconds()
            ran += after[0] - before[0]
            waited += after[1] - before[1]
    count = sum(route["latency_ms"]["count"] for route in through)
    lost = sum(route["arrivals"] for route in through) - count
    for quantile, target in (
        ("p50", "none"), ("p95", "none"), ("p99", TARGET_P99_MS)
    ):
        pairs = [
            (d["latency_ms"][quantile], t["latency_ms"][quantile])
            for d, t in zip(direct, through)
        ]
        show(
            f"direct_latency_{quantile}", policy,
            statistics.median(d for d, _ in pairs), "ms",
        )
        show(
            f"added_latency_{quantile}", policy,
            statistics.median(t - d for d, t in pairs), "ms", target,
        )
        show(
            f"added_latency_{quantile}_worst_round", policy,
            max(t - d for d, t in pairs), "ms",
        )
    calls = LATENCY_ROUNDS * LATENCY_RATE * LATENCY_ROUND_MS / 1000
    show("processor_time_per_call", policy, ran / calls * 1e6, "us")
    # Rises with the other work on the machine, and the latency with it.
    show("processor_wait_per_call", policy, waited / calls * 1e6, "us")
    show("added_latency_count", policy, count, "calls")
    show("added_latency_not_whole", policy, lost, "calls", 0)


def throughput(build, policy):
    """Highest tried rate that one entry and guard pair carries."""
    best, cpu = 0, 0
    with Pair(build, policy) as pair:
        for number, rate in enumerate(THROUGHPUT_RATES):
            before = pair.processor_seconds()[0]
            route = pair.load(
                pair.entry.http, SEED + number, rate, THROUGHPUT_ROUND_MS
            )
            spent = pair.processor_seconds()[0] - before
            whole = route["outcomes"]["whole"]
            carried = (
                whole >= THROUGHPUT_SHARE * route["arrivals"]
                and route["latency_ms"]["p50"] <= THROUGHPUT_P50_MS
            )
            if not carried:
                break
            best = route["goodput_per_second"]
            cpu = spent / (rate * THROUGHPUT_ROUND_MS / 1000) * 1e6
    show("throughput", policy, best, "calls/s")
    show("throughput_cpu_per_call", policy, cpu, "us")


MEASURES = {"added_latency": added_latency, "throughput": throughput}


def main():
    build = sys.argv[1]
    chosen = sys.argv[2] if len(sys.argv) > 2 else ""
    for name, measure in MEASURES.items():
        if chosen in ("", name):
            for policy in POLICIES:
                measure(build, policy)
    in_virtual_time = pathlib.Path(build) / "measure-policies"
    if in_virtual_time.exists() and chosen not in MEASURES:
        arguments = [chosen] if chosen else []
        return subprocess.run([str(in_virtual_time), *arguments]).returncode
    return 0


sys.exit(main())
