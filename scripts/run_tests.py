"""Runs the CppUTest programs of a build folder and sums their results."""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

TEST_TIMEOUT_SECONDS = 900
SUMMARY = re.compile(r"\((?:(\d+) failures?, )?\d+ tests, (\d+) ran,")
FAILURE = re.compile(r"Failure in (?:IGNORE_)?TEST\((\w+), (\w+)\)")
KNOWN_RED = re.compile(r"test=(\w+\.\w+)")


def known_red():
    path = pathlib.Path("KNOWN-RED.txt")
    return set(KNOWN_RED.findall(path.read_text())) if path.exists() else set()


def run(program):
    try:
        done = subprocess.run(
            [str(program), "-v"],
            capture_output=True,
            text=True,
            errors="replace",
            timeout=TEST_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired as expired:
        return program, None, str(expired)
    return program, done.returncode, done.stdout + done.stderr


def main():
    programs = sorted(
        p
        for p in pathlib.Path(sys.argv[1]).glob("test-*")
        if p.is_file() and os.access(p, os.X_OK)
    )
    allowed = known_red()
    passed = failed = red = 0
    with concurrent.futures.ThreadPoolExecutor(max_workers=4) as pool:
        for program, code, output in pool.map(run, programs):
            summary = SUMMARY.search(output)
            failures = {".".join(m) for m in FAILURE.findall(output)}
            ran = int(summary.group(2)) if summary else 0
            known = failures & allowed
            new = failures - allowed
            crashed = summary is None or (code != 0 and not failures)
            passed += ran - len(failures)
            failed += len(new) + (1 if crashed else 0)
            red += len(known)
            print(f"{program.name}: {ran} ran, {len(failures)} failed")
            for name in sorted(known):
                print(f"known red: {name}")
            if new or crashed:
                print(output[-6000:])
    if passed == 0:
        print("no test ran")
        failed += 1
    if red:
        print(f"{red} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
