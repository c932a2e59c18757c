"""Runs scenario files: those in virtual time by run-scenario."""

import argparse
import concurrent.futures
import os
import pathlib
import subprocess
import sys

RUN_TIMEOUT_SECONDS = 900


def mode_of(path):
    for line in path.read_text().splitlines():
        words = line.split()
        if words[:1] == ["mode"]:
            return words[1]
    return "virtual"


def run_virtual(build, path, baseline):
    command = [str(build / "run-scenario"), "--file", str(path)]
    if baseline:
        command += ["--baseline", "true"]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_SECONDS
    )
    return done.returncode, done.stdout, done.stderr


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("name", nargs="?")
    options = parser.parse_args()
    files = sorted(pathlib.Path("scenarios").glob("*.scenario"))
    if options.name:
        files = [f for f in files if f.stem == options.name]
    if not files:
        print(f"no scenario named {options.name}", file=sys.stderr)
        return 2
    virtual = [f for f in files if mode_of(f) == "virtual"]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count() // 2) as pool:
        runs = pool.map(
            lambda f: run_virtual(options.build, f, options.baseline), virtual
        )
        for code, output, errors in runs:
            print(output, end="", flush=True)
            sys.stderr.write(errors[:2000])
            failed += code != 0
    if options.baseline:
        # Without the mechanism each scenario has to fail.
        return 0 if failed == len(virtual) else 1
    return 1 if failed else 0


sys.exit(main())
