"""Runs the CppUTest programs of a build folder and adds up their results."""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

TEST_TIMEOUT_SECONDS = 900
SUMMARY = re.compile(r"\((?:(\d+) failures?, )?\d+ tests, (\d+) ran,")
FAILURE = re.compile(r"Failure in (?:IGNORE_)?TEST\((\w+), (\w+)\)")
KNOWN_RED_TEST = re.compile(r"test=(\w+\.\w+)")


def read_known_red():
    path = pathlib.Path("KNOWN-RED.txt")
    return set(KNOWN_RED_TEST.findall(path.read_text())) if path.exists() else set()


def run_program(program):
    try:
        completed = subprocess.run(
            [str(program), "-v"],
            capture_output=True,
            text=True,
            errors="replace",
            timeout=TEST_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired as expired:
        return program, None, str(expired)
    return program, completed.returncode, completed.stdout + completed.stderr


def main():
    programs = sorted(
        p
        for p in pathlib.Path(sys.argv[1]).glob("test-*")
        if p.is_file() and os.access(p, os.X_OK)
    )
    known_red = read_known_red()
    passed = failed = known_red_count = 0
    with concurrent.futures.ThreadPoolExecutor(max_workers=4) as pool:
        for program, exit_code, output in pool.map(run_program, programs):
            summary = SUMMARY.search(output)
            failures = {".".join(m) for m in FAILURE.findall(output)}
            ran_count = int(summary.group(2)) if summary else 0
            known_failures = failures & known_red
            new_failures = failures - known_red
            crashed = summary is None or (exit_code != 0 and not failures)
            passed += ran_count - len(failures)
            failed += len(new_failures) + (1 if crashed else 0)
            known_red_count += len(known_failures)
            print(f"{program.name}: {ran_count} ran, {len(failures)} failed")
            for name in sorted(known_failures):
                print(f"known red: {name}")
            if new_failures or crashed:
                print(output[-6000:])
    if passed == 0:
        print("no test ran")
        failed += 1
    if known_red_count:
        print(f"{known_red_count} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
