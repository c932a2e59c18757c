"""Demonstration: both users' call graphs, scaled down, with real requests."""

import concurrent.futures
import json
import sys
import tempfile

import mesh

REQUESTS_PER_ROUTE = 40
CALLERS = 8
PLATFORM = "127.0.0.1:16999"

# Upstreams for each service and the calls that a request makes. Sizes are
# those of the brief divided by about two; slots are divided by ten.
SERVICES = [
    ("measures", "tas-a", 2, 4, ""),
    ("photos", "tas-b", 2, 20, ""),
    ("slots", "tas-a", 2, 10, "measures/read"),
    ("bookings", "tas-b", 2, 15, "slots/hold,measures/read"),
    ("specview", "nairobi-a", 2, 3, ""),
    ("sensorvault", "nairobi-b", 2, 14, ""),
    ("catalogue", "nairobi-a", 2, 11, "specview/read"),
    ("runbook", "nairobi-b", 2, 14, "catalogue/read,sensorvault/open"),
]
ROUTES = [
    "slots/list", "bookings/confirm", "photos/upload", "measures/read",
    "catalogue/search", "runbook/fire", "sensorvault/append", "specview/read",
]


def start_mesh(system):
    system.start_platform(PLATFORM)
    nodes = []
    port = 17000
    for service, domain, count, slots, calls in SERVICES:
        for number in range(1, count + 1):
            node = mesh.Node(f"{service}-{number}", domain, service, port)
            nodes.append((node, slots, calls))
            port += 10
    seeds = [node.peer for node, _, _ in nodes[:2]]
    for node, slots, calls in nodes:
        system.add_node(
            node, seeds, upstream_flags=("--slots", str(slots), "--calls", calls)
        )


def all_known(system):
    for node in system.nodes:
        status, _, body = mesh.fetch(node.http, "/status")
        if status != 200:
            return False
        members = json.loads(body)["members"]
        announced = [m for m in members if m["service"]]
        if len(announced) != len(system.nodes):
            return False
    return True


def call(node, route, number):
    body = f"{route}#{number}".encode()
    status, headers, answer = mesh.fetch(node.http, f"/call/{route}", body)
    outcome = headers.get("Samphire-Outcome", "lost")
    if outcome == "completed" and (status != 200 or answer != body):
        outcome = "lost"
    return outcome


def count_double_runs(system):
    """Runs of one request at one service beyond the calls that ask for it."""
    runs = {}
    for node in system.nodes:
        _, _, page = mesh.fetch(node.upstream, "/runs")
        for line in page.decode().splitlines():
            count, work = line.split(" ", 1)
            runs[work] = runs.get(work, 0) + int(count)
    # A booking reaches measures twice: by itself and through slots.
    asked_twice = "measures read bookings/"
    return sum(
        count - (2 if work.startswith(asked_twice) else 1)
        for work, count in runs.items()
        if count > (2 if work.startswith(asked_twice) else 1)
    )


def main():
    with tempfile.TemporaryDirectory() as logs:
        system = mesh.Mesh(sys.argv[1], logs)
        outcomes = {"completed": 0, "not-run": 0, "unknown": 0, "lost": 0}
        try:
            start_mesh(system)
            if not mesh.wait_until(lambda: all_known(system)):
                print("the daemons did not find each other")
                return 1
            jobs = [
                (system.nodes[n % len(system.nodes)], route, n)
                for n in range(REQUESTS_PER_ROUTE)
                for route in ROUTES
            ]
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                for outcome in pool.map(lambda job: call(*job), jobs):
                    outcomes[outcome] += 1
            double_runs = count_double_runs(system)
        finally:
            killed = system.stop()
    print(f"daemons={len(system.nodes)} killed_at_stop={killed}")
    print(
        f"requests={len(jobs)} whole={outcomes['completed']} "
        f"not_run={outcomes['not-run']} unknown={outcomes['unknown']} "
        f"double_runs={double_runs} lost={outcomes['lost']}"
    )
    return 0 if outcomes["lost"] == 0 and double_runs == 0 else 1


sys.exit(main())
