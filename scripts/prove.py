"""Runs scenario files: in virtual time by run-scenario, or over processes."""

import argparse
import concurrent.futures
import os
import pathlib
import subprocess
import sys

import process_run
import scenario_file

RUN_TIMEOUT_SECONDS = 900
# Each run over processes starts up to a dozen of them.
PROCESS_RUNS_AT_ONCE = 10
SEEDS_REPORTED = 3


def run_virtual(build, scenario, path, baseline):
    command = [str(build / "run-scenario"), "--file", str(path)]
    if baseline:
        command += ["--baseline", "true"]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS
    )
    reported = done.stderr.splitlines()[:SEEDS_REPORTED]
    return done.returncode == 0, done.stdout.strip(), reported


def is_met(words, figures):
    _, figure, relation, bound = words
    if figure not in figures:
        return False
    value, bound = figures[figure], float(bound)
    return {"==": value == bound, "<=": value <= bound, ">=": value >= bound}[relation]


def run_processes(build, scenario, baseline, slots):
    failures = []

    def one(seed):
        slot = slots.pop()
        try:
            figures = process_run.ProcessRun(
                build, scenario, seed, slot, baseline
            ).run()
        finally:
            slots.append(slot)
        broken = [
            f"{line.words[1]}={figures.get(line.words[1], -1):g}"
            for line in scenario.expectations
            if not is_met(line.words, figures)
        ]
        if broken:
            failures.append(f"scenario={scenario.name} seed={seed} {' '.join(broken)}")

    with concurrent.futures.ThreadPoolExecutor(PROCESS_RUNS_AT_ONCE) as pool:
        list(pool.map(one, range(1, scenario.runs + 1)))
    passed = not failures
    line = (
        f"hold={scenario.name} faults={scenario.fault_list()} "
        f"runs={scenario.runs} result={'pass' if passed else 'fail'}"
    )
    return passed, line, failures[:SEEDS_REPORTED]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--mode", choices=("virtual", "process"))
    parser.add_argument("name", nargs="?")
    options = parser.parse_intermixed_args()
    files = sorted(pathlib.Path("scenarios").glob("*.scenario"))
    if options.name:
        files = [f for f in files if f.stem == options.name]
    scenarios = [(f, scenario_file.Scenario(f)) for f in files]
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

    virtual = [s for s in scenarios if s[1].mode == "virtual"]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count() // 2) as pool:
        for result in pool.map(
            lambda s: run_virtual(options.build, s[1], s[0], options.baseline),
            virtual,
        ):
            report(result)
    slots = list(range(PROCESS_RUNS_AT_ONCE))
    for _, scenario in scenarios:
        if scenario.mode == "process":
            report(run_processes(options.build, scenario, options.baseline, slots))
    if options.baseline:
        # Without the mechanism each scenario has to fail.
        return 0 if not any(results) else 1
    return 0 if all(results) else 1


sys.exit(main())
