"""Measures latency and throughput of real processes on loopback.

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
PLATFORM_ADDRESS = "127.0.0.1:17999"
SEED = 1
LATENCY_ROUNDS = 5
LATENCY_RATE_PER_S = 200
LATENCY_ROUND_MS = 3000
LATENCY_WARM_UP_MS = 500
THROUGHPUT_ROUND_MS = 3000
# A pair sustains a rate when at least this ratio of the calls gets a complete
# answer within the caller's timeout and the median latency stays below a bound.
MIN_COMPLETED_RATIO = 0.99
MAX_P50_LATENCY_MS = 50
THROUGHPUT_RATES_PER_S = (1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000)
TARGET_ADDED_P99_MS = 0.74
DAEMON_PROGRAMS = {"product": "samphire-daemon", "baseline": "baseline-daemon"}


def print_figure(name, policy, value, unit, target="none"):
    print(
        f"measure={name} policy={policy} value={value:.4g} unit={unit} "
        f"target={target}",
        flush=True,
    )


class DaemonPair:
    """An entry daemon and a guard daemon, each with its upstream."""

    def __init__(self, build, policy):
        self.build = pathlib.Path(build)
        self.log_folder = tempfile.TemporaryDirectory()
        self.mesh = mesh.Mesh(build, self.log_folder.name, DAEMON_PROGRAMS[policy])
        self.entry = mesh.Node("entry-1", "a", "front", BASE_PORT)
        self.guard = mesh.Node("guard-1", "a", "echo", BASE_PORT + 10)

    def __enter__(self):
        seeds = [self.entry.peer_address]
        self.mesh.start_platform(PLATFORM_ADDRESS)
        for node in (self.entry, self.guard):
            flags = ("--slots", "500", "--service-ms", "0")
            self.mesh.add_node(
                node, seeds, ("--log-level", "2"), upstream_flags=flags
            )
        if not mesh.wait_until(self.serves_requests):
            raise RuntimeError("the daemon pair does not answer requests")
        return self

    def __exit__(self, *_):
        self.mesh.stop()
        self.log_folder.cleanup()

    def serves_requests(self):
        status, _, _ = mesh.fetch(self.entry.http_address, "/call/echo/run", b"ready")
        return status == 200

    def run_load(self, address, seed, rate_per_s, length_ms, *flags):
        completed = subprocess.run(
            [
                str(self.build / "samphire-load"),
                "--entries", address,
                "--routes", "echo/run",
                "--rate", str(rate_per_s),
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
        return json.loads(completed.stdout.splitlines()[-1])["routes"][0]

    def processor_times_s(self):
        """Seconds that the threads of both daemons ran and waited for a processor."""
        run_time_ns = wait_time_ns = 0
        for node in self.mesh.nodes:
            task_folder = pathlib.Path(f"/proc/{node.daemon_process.pid}/task")
            for file in task_folder.glob("*/schedstat"):
                fields = file.read_text().split()
                run_time_ns += int(fields[0])
                wait_time_ns += int(fields[1])
        return run_time_ns / 1e9, wait_time_ns / 1e9


def measure_added_latency(build, policy):
    """Latency through entry and guard minus that of direct calls to the upstream."""
    direct_results, routed_results = [], []
    run_time_s = wait_time_s = 0
    with DaemonPair(build, policy) as pair:
        for round_number in range(LATENCY_ROUNDS):
            load_arguments = (SEED + round_number, LATENCY_RATE_PER_S, LATENCY_ROUND_MS)
            direct_results.append(
                pair.run_load(
                    pair.guard.upstream_address, *load_arguments, "--direct=true"
                )
            )
            before = pair.processor_times_s()
            routed_results.append(
                pair.run_load(pair.entry.http_address, *load_arguments)
            )
            after = pair.processor_times_s()
            run_time_s += after[0] - before[0]
            wait_time_s += after[1] - before[1]
    completed_count = sum(result["latency_ms"]["count"] for result in routed_results)
    incomplete_count = sum(
        result["arrivals"] for result in routed_results
    ) - completed_count
    for quantile, target in (
        ("p50", "none"), ("p95", "none"), ("p99", TARGET_ADDED_P99_MS)
    ):
        latency_pairs_ms = [
            (direct["latency_ms"][quantile], routed["latency_ms"][quantile])
            for direct, routed in zip(direct_results, routed_results)
        ]
        print_figure(
            f"direct_latency_{quantile}", policy,
            statistics.median(direct for direct, _ in latency_pairs_ms), "ms",
        )
        print_figure(
            f"added_latency_{quantile}", policy,
            statistics.median(routed - direct for direct, routed in latency_pairs_ms),
            "ms", target,
        )
        print_figure(
            f"added_latency_{quantile}_worst_round", policy,
            max(routed - direct for direct, routed in latency_pairs_ms), "ms",
        )
    call_count = LATENCY_ROUNDS * LATENCY_RATE_PER_S * LATENCY_ROUND_MS / 1000
    print_figure("processor_time_per_call", policy, run_time_s / call_count * 1e6, "us")
    # Other programs on the machine raise this figure and the latency with it.
    print_figure(
        "processor_wait_per_call", policy, wait_time_s / call_count * 1e6, "us"
    )
    print_figure("added_latency_count", policy, completed_count, "calls")
    print_figure("added_latency_not_whole", policy, incomplete_count, "calls", 0)


def measure_throughput(build, policy):
    """Goodput at the highest rate of the list that one daemon pair sustains."""
    max_goodput_per_s, cpu_us_per_call = 0, 0
    with DaemonPair(build, policy) as pair:
        for round_number, rate_per_s in enumerate(THROUGHPUT_RATES_PER_S):
            before = pair.processor_times_s()[0]
            route_result = pair.run_load(
                pair.entry.http_address, SEED + round_number, rate_per_s,
                THROUGHPUT_ROUND_MS
            )
            run_time_s = pair.processor_times_s()[0] - before
            completed_count = route_result["outcomes"]["whole"]
            sustained = (
                completed_count >= MIN_COMPLETED_RATIO * route_result["arrivals"]
                and route_result["latency_ms"]["p50"] <= MAX_P50_LATENCY_MS
            )
            if not sustained:
                break
            max_goodput_per_s = route_result["goodput_per_second"]
            cpu_us_per_call = run_time_s / (rate_per_s * THROUGHPUT_ROUND_MS / 1000) * 1e6
    print_figure("throughput", policy, max_goodput_per_s, "calls/s")
    print_figure("throughput_cpu_per_call", policy, cpu_us_per_call, "us")


MEASURES = {"added_latency": measure_added_latency, "throughput": measure_throughput}


def main():
    build = sys.argv[1]
    selected_name = sys.argv[2] if len(sys.argv) > 2 else ""
    for name, measure in MEASURES.items():
        if selected_name in ("", name):
            for policy in DAEMON_PROGRAMS:
                measure(build, policy)
    virtual_time_program = pathlib.Path(build) / "measure-policies"
    if virtual_time_program.exists() and selected_name not in MEASURES:
        arguments = [selected_name] if selected_name else []
        return subprocess.run([str(virtual_time_program), *arguments]).returncode
    return 0


sys.exit(main())
