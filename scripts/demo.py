"""Sends real requests through scaled-down copies of both users' call graphs."""

import concurrent.futures
import json
import sys
import tempfile

import mesh

REQUESTS_PER_ROUTE = 40
CALLER_THREADS = 8
PLATFORM_ADDRESS = "127.0.0.1:16999"

# Service, failure domain, number of upstreams, slots of each upstream and the
# child calls that a request makes. The numbers of upstreams are about half of
# those of the users' systems; the slots are a tenth.
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
    system.start_platform(PLATFORM_ADDRESS)
    nodes = []
    port = 17000
    for service, domain, upstream_count, slots, calls in SERVICES:
        for number in range(1, upstream_count + 1):
            node = mesh.Node(f"{service}-{number}", domain, service, port)
            nodes.append((node, slots, calls))
            port += 10
    seeds = [node.peer_address for node, _, _ in nodes[:2]]
    for node, slots, calls in nodes:
        system.add_node(
            node, seeds, upstream_flags=("--slots", str(slots), "--calls", calls)
        )


def all_upstreams_discovered(system):
    for node in system.nodes:
        status, _, body = mesh.fetch(node.http_address, "/status")
        if status != 200:
            return False
        members = json.loads(body)["members"]
        upstream_members = [m for m in members if m["service"]]
        if len(upstream_members) != len(system.nodes):
            return False
    return True


def send_request(node, route, number):
    body = f"{route}#{number}".encode()
    status, headers, response_body = mesh.fetch(
        node.http_address, f"/call/{route}", body
    )
    outcome = headers.get("Samphire-Outcome", "lost")
    if outcome == "completed" and (status != 200 or response_body != body):
        outcome = "lost"
    return outcome


def count_double_runs(system):
    """Counts executions of a request at a service beyond the calls made to it."""
    run_counts = {}
    for node in system.nodes:
        _, _, page = mesh.fetch(node.upstream_address, "/runs")
        for line in page.decode().splitlines():
            count, work = line.split(" ", 1)
            run_counts[work] = run_counts.get(work, 0) + int(count)
    # A booking calls measures twice: directly and through slots.
    called_twice_prefix = "measures read bookings/"
    return sum(
        count - (2 if work.startswith(called_twice_prefix) else 1)
        for work, count in run_counts.items()
        if count > (2 if work.startswith(called_twice_prefix) else 1)
    )


def main():
    with tempfile.TemporaryDirectory() as log_folder:
        system = mesh.Mesh(sys.argv[1], log_folder)
        outcomes = {"completed": 0, "not-run": 0, "unknown": 0, "lost": 0}
        try:
            start_mesh(system)
            if not mesh.wait_until(lambda: all_upstreams_discovered(system)):
                print("the daemons did not discover all upstreams in time")
                return 1
            requests = [
                (system.nodes[n % len(system.nodes)], route, n)
                for n in range(REQUESTS_PER_ROUTE)
                for route in ROUTES
            ]
            with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
                for outcome in pool.map(
                    lambda request: send_request(*request), requests
                ):
                    outcomes[outcome] += 1
            double_runs = count_double_runs(system)
        finally:
            killed_count = system.stop()
    print(f"daemons={len(system.nodes)} killed_at_stop={killed_count}")
    print(
        f"requests={len(requests)} whole={outcomes['completed']} "
        f"not_run={outcomes['not-run']} unknown={outcomes['unknown']} "
        f"double_runs={double_runs} lost={outcomes['lost']}"
    )
    return 0 if outcomes["lost"] == 0 and double_runs == 0 else 1


sys.exit(main())
