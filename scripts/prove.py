"""Runs scenario files, in virtual time (run-scenario) or over real processes."""

import argparse
import concurrent.futures
import os
import pathlib
import subprocess
import sys

import process_run
import scenario_file

RUN_TIMEOUT_SECONDS = 900
# Each of these runs starts up to a dozen processes.
MAX_CONCURRENT_PROCESS_RUNS = 10
MAX_REPORTED_SEEDS = 3


def run_virtual(build, scenario, path, baseline):
    command = [str(build / "run-scenario"), "--file", str(path)]
    if baseline:
        command += ["--baseline", "true"]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS
    )
    failures = completed.stderr.splitlines()[:MAX_REPORTED_SEEDS]
    return completed.returncode == 0, completed.stdout.strip(), failures


def is_expectation_met(words, figures):
    _, figure, relation, bound = words
    if figure not in figures:
        return False
    value, bound = figures[figure], float(bound)
    return {"==": value == bound, "<=": value <= bound, ">=": value >= bound}[relation]


def run_processes(build, scenario, baseline, port_slots):
    failures = []

    def run_seed(seed):
        port_slot = port_slots.pop()
        try:
            figures = process_run.ProcessRun(
                build, scenario, seed, port_slot, baseline
            ).run()
        finally:
            port_slots.append(port_slot)
        unmet = [
            f"{line.words[1]}={figures.get(line.words[1], -1):g}"
            for line in scenario.expectations
            if not is_expectation_met(line.words, figures)
        ]
        if unmet:
            failures.append(f"scenario={scenario.name} seed={seed} {' '.join(unmet)}")

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_PROCESS_RUNS) as pool:
        list(pool.map(run_seed, range(1, scenario.run_count + 1)))
    passed = not failures
    line = (
        f"hold={scenario.name} faults={scenario.fault_list()} "
        f"runs={scenario.run_count} result={'pass' if passed else 'fail'}"
    )
    return passed, line, failures[:MAX_REPORTED_SEEDS]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--mode", choices=("virtual", "process"))
    parser.add_argument("name", nargs="?")
    options = parser.parse_intermixed_args()
    paths = sorted(pathlib.Path("scenarios").glob("*.scenario"))
    if options.name:
        paths = [path for path in paths if path.stem == options.name]
    scenarios = [(path, scenario_file.Scenario(path)) for path in paths]
    if options.mode:
        scenarios = [s for s in scenarios if s[1].mode == options.mode]
    if not scenarios:
        print("no such scenario", file=sys.stderr)
        return 2

    results = []

    def report(result):
        passed, line, failures = result
        print(line, flush=True)
        for failure in failures:
            print(failure[:300], file=sys.stderr)
        results.append(passed)

    virtual_scenarios = [s for s in scenarios if s[1].mode == "virtual"]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count() // 2) as pool:
        for result in pool.map(
            lambda s: run_virtual(options.build, s[1], s[0], options.baseline),
            virtual_scenarios,
        ):
            report(result)
    port_slots = list(range(MAX_CONCURRENT_PROCESS_RUNS))
    for _, scenario in scenarios:
        if scenario.mode == "process":
            report(run_processes(options.build, scenario, options.baseline, port_slots))
    if options.baseline:
        # The baseline lacks the mechanisms, so each scenario has to fail.
        return 0 if not any(results) else 1
    return 0 if all(results) else 1


sys.exit(main())
