"""Starts and stops the processes of one mesh on loopback."""

import http.client
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 15


class Node:
    """One upstream VM: a daemon and the stand-in of its upstream."""

    def __init__(self, name, domain, service, base_port):
        self.name = name
        self.domain = domain
        self.service = service
        self.peer = f"127.0.0.1:{base_port}"
        self.http = f"127.0.0.1:{base_port + 1}"
        self.upstream = f"127.0.0.1:{base_port + 2}"
        self.daemon_process = None
        self.upstream_process = None


class Mesh:
    """Processes of several nodes and, if wanted, the platform stand-in."""

    def __init__(self, build, logs, daemon="samphire-daemon"):
        self.build = pathlib.Path(build)
        self.logs = pathlib.Path(logs)
        self.logs.mkdir(parents=True, exist_ok=True)
        self.daemon = daemon
        self.nodes = []
        self.processes = []
        self.platform = None

    def start(self, program, name, *flags):
        with open(self.logs / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [str(self.build / program), *flags], stdout=log, stderr=log
            )
        self.processes.append(process)
        return process

    def start_platform(self, address, *flags):
        """Starts standin-platform; daemons started later use it."""
        self.platform = address
        return self.start(
            "standin-platform", "platform", "--http-address", address, *flags
        )

    def add_node(self, node, seeds, daemon_flags=(), upstream_flags=()):
        self.nodes.append(node)
        self.start_daemon(node, seeds, *daemon_flags)
        self.start_upstream(node, *upstream_flags)

    def start_daemon(self, node, seeds, *flags):
        node.daemon_process = self.start(
            self.daemon,
            f"daemon-{node.name}",
            "--daemon-id", node.name,
            "--domain", node.domain,
            "--peer-address", node.peer,
            "--http-address", node.http,
            "--peer-secret", "demo",
            "--seeds", ",".join(seeds),
            *(["--platform-address", self.platform] if self.platform else []),
            *flags,
        )

    def start_upstream(self, node, *flags):
        node.upstream_process = self.start(
            "standin-upstream",
            f"upstream-{node.name}",
            "--service", node.service,
            "--http-address", node.upstream,
            "--daemon-address", node.http,
            *flags,
        )

    def stop(self):
        """Graceful stop of every process; returns how many had to be killed."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        killed = 0
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed += 1
        return killed


def fetch(address, path, body=None, headers=None, timeout=10, method=None):
    """Returns (status, headers, body); status 0 without an answer."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as answer:
        return answer.code, dict(answer.headers), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""


def wait_until(condition, timeout=READY_TIMEOUT_SECONDS):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False
