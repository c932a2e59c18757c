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
        self.peer_address = f"127.0.0.1:{base_port}"
        self.http_address = f"127.0.0.1:{base_port + 1}"
        self.upstream_address = f"127.0.0.1:{base_port + 2}"
        self.daemon_process = None
        self.upstream_process = None


class Mesh:
    """Processes of several nodes and, optionally, the platform stand-in."""

    def __init__(self, build, log_folder, daemon_program="samphire-daemon"):
        self.build = pathlib.Path(build)
        self.log_folder = pathlib.Path(log_folder)
        self.log_folder.mkdir(parents=True, exist_ok=True)
        self.daemon_program = daemon_program
        self.nodes = []
        self.processes = []
        self.platform_address = None

    def start(self, program, name, *flags):
        with open(self.log_folder / f"{name}.log", "ab") as log_file:
            process = subprocess.Popen(
                [str(self.build / program), *flags], stdout=log_file, stderr=log_file
            )
        self.processes.append(process)
        return process

    def start_platform(self, address, *flags):
        """Starts standin-platform; daemons started later use it."""
        self.platform_address = address
        return self.start(
            "standin-platform", "platform", "--http-address", address, *flags
        )

    def add_node(self, node, seeds, daemon_flags=(), upstream_flags=()):
        self.nodes.append(node)
        self.start_daemon(node, seeds, *daemon_flags)
        self.start_upstream(node, *upstream_flags)

    def start_daemon(self, node, seeds, *flags):
        node.daemon_process = self.start(
            self.daemon_program,
            f"daemon-{node.name}",
            "--daemon-id", node.name,
            "--domain", node.domain,
            "--peer-address", node.peer_address,
            "--http-address", node.http_address,
            "--peer-secret", "demo",
            "--seeds", ",".join(seeds),
            *(
                ["--platform-address", self.platform_address]
                if self.platform_address
                else []
            ),
            *flags,
        )

    def start_upstream(self, node, *flags):
        node.upstream_process = self.start(
            "standin-upstream",
            f"upstream-{node.name}",
            "--service", node.service,
            "--http-address", node.upstream_address,
            "--daemon-address", node.http_address,
            *flags,
        )

    def stop(self):
        """Resumes and terminates every process; returns how many had to be killed."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        killed_count = 0
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed_count += 1
        return killed_count


def fetch(address, path, body=None, headers=None, timeout=10, method=None):
    """Returns (status, headers, body) of the response; status 0 if there is none."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as response:
        return response.code, dict(response.headers), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""


def wait_until(condition, timeout=READY_TIMEOUT_SECONDS):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False
