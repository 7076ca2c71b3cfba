"""Runs real nodes with fake endpoints and a fake platform on loopback addresses."""

from __future__ import annotations

import base64
import dataclasses
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import urllib3
import zmq.auth

from bench import relay
from snipelink import model
from snipelink.objects import documents

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
MIN_PORT = 10000
MAX_PORT = 32000


@dataclasses.dataclass(slots=True)
class Server:
    """Addresses and processes of one server, which runs an endpoint and a node."""

    endpoint: model.Endpoint
    caller_address: str
    admin_address: str
    call_listen: str
    endpoint_process: subprocess.Popen[bytes] | None = None
    node_process: subprocess.Popen[bytes] | None = None


def exit_on_sigterm() -> None:
    """Exit with an exception on SIGTERM, so that context managers end the children."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def loopback_host() -> str:
    """Return a random address of the loopback network.

    With one shared address, two deployments that start at the same time could both
    choose the same free port.
    """
    rng = random.SystemRandom()
    return f"127.{rng.randint(1, 254)}.{rng.randint(0, 254)}.{rng.randint(1, 254)}"


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Return ports that are free at the time of the call.

    The ports lie below the ephemeral range. The kernel could otherwise assign one of
    them to an outgoing connection before the process that shall listen has started.
    """
    rng = random.SystemRandom()
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        item = socket.socket()
        try:
            item.bind((host, rng.randrange(MIN_PORT, MAX_PORT)))
        except OSError:
            item.close()
            continue
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def wait_for_port(address: str, timeout_s: float = START_TIMEOUT_S) -> None:
    host, port = address.rsplit(":", 1)
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


class Deployment:
    """Context manager that runs the processes of one deployment.

    The processes are a fake platform, and a fake endpoint and a real node per server.
    """

    def __init__(
        self,
        rules: tuple[model.Rule, ...],
        operations_by_service: dict[str, tuple[model.Operation, ...]],
        domains_by_server: dict[str, tuple[str, str]],
        slots: int = 10,
        endpoint_options: tuple[str, ...] = (),
        platform_options: tuple[str, ...] = (),
        connections: int = 200,
        use_relays: bool = False,
    ) -> None:
        """Assign addresses to the servers without starting any process.

        ``domains_by_server`` maps the name of a server to its service and its failure
        domain. With ``use_relays``, calls to each node pass through a TCP relay that
        can inject connection faults.
        """
        self.platform_options = platform_options
        self.node_module = "snipelink.cli.node"
        self.node_arguments: tuple[str, ...] = ()
        self.relays_by_server: dict[str, relay.Relay] = {}
        self.rules = rules
        self.operations_by_service = operations_by_service
        self.endpoint_options = endpoint_options
        self.revision = 0
        self.pool = urllib3.PoolManager(retries=False)
        self.slots = slots
        self.directory = tempfile.TemporaryDirectory()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.platform_process: subprocess.Popen[bytes] | None = None
        self.servers_by_name: dict[str, Server] = {}
        self.settings_by_server: dict[str, dict[str, object]] = {}
        host = loopback_host()
        ports = iter(free_ports(6 * len(domains_by_server) + 1, host))
        self.platform_address = f"{host}:{next(ports)}"
        for name, (service, domain) in domains_by_server.items():
            addresses = [f"{host}:{next(ports)}" for _ in range(6)]
            endpoint = model.Endpoint(
                name,
                service,
                domain,
                domain.rsplit("-", 1)[0],
                addresses[0],
                addresses[1],
                addresses[2],
                slots=slots,
                connections=connections,
            )
            server = Server(endpoint, addresses[3], addresses[4], addresses[1])
            if use_relays:
                server.call_listen = addresses[5]
                server_relay = relay.Relay(addresses[1], addresses[5])
                self.relays_by_server[name] = server_relay
            self.servers_by_name[name] = server

    def __enter__(self) -> Deployment:
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        for item in self.relays_by_server.values():
            item.start()
        self.start_platform()
        self.publish()
        for server in self.servers_by_name.values():
            self.start_endpoint(server)
        for server in self.servers_by_name.values():
            wait_for_port(server.endpoint.address)
            self.start_node(server)
        for server in self.servers_by_name.values():
            wait_for_port(server.caller_address)
        self.wait_until_ready()

    def __exit__(self, *_: object) -> None:
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for item in self.relays_by_server.values():
            item.stop()
        self.directory.cleanup()

    def spawn(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a Python module as a process."""
        command = [sys.executable, "-m", module, *arguments]
        log = pathlib.Path(self.directory.name) / f"{module}-{len(self.processes)}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the fake platform, which holds no published configuration yet."""
        self.platform_process = self.spawn(
            "bench.platform",
            f"--listen={self.platform_address}",
            *self.platform_options,
        )
        wait_for_port(self.platform_address)

    @property
    def log_directory(self) -> pathlib.Path:
        """Directory of the event logs that the endpoints write."""
        return pathlib.Path(self.directory.name) / "endpoints"

    def start_endpoint(self, server: Server) -> None:
        """Start the fake endpoint of a server without waiting until it listens."""
        self.log_directory.mkdir(exist_ok=True)
        endpoint = server.endpoint
        server.endpoint_process = self.spawn(
            "bench.endpoint",
            f"--listen={endpoint.address}",
            f"--name={endpoint.name}",
            f"--slots={endpoint.slots}",
            f"--connections={endpoint.connections}",
            f"--log={self.log_directory / endpoint.name}",
            *self.endpoint_options,
        )

    def start_node(self, server: Server) -> None:
        """Start the node of a server without waiting until it listens."""
        endpoint = server.endpoint
        values = {
            "node": endpoint.name,
            "service": endpoint.service,
            "failure_domain": endpoint.failure_domain,
            "region": endpoint.region,
            "caller_listen": server.caller_address,
            "call_listen": server.call_listen,
            "control_listen": endpoint.control_address,
            "admin_listen": server.admin_address,
            "endpoint": endpoint.address,
            "platform_urls": [f"http://{self.platform_address}"],
        }
        values |= self._control_settings()
        values |= self.settings_by_server.get(endpoint.name, {})
        path = pathlib.Path(self.directory.name) / f"{endpoint.name}.json"
        path.write_text(json.dumps(values))
        server.node_process = self.spawn(
            self.node_module, *self.node_arguments, str(path)
        )

    def _control_settings(self) -> dict[str, object]:
        directory = pathlib.Path(self.directory.name)
        key = directory / "control.key_secret"
        if not key.exists():
            zmq.auth.create_certificates(directory, "control")
        addresses = [s.endpoint.control_address for s in self.servers_by_name.values()]
        return {"control_key_files": [str(key)], "control_seeds": addresses[:3]}

    def object_set(self) -> model.ObjectSet:
        """Return the object set that describes the current servers."""
        services = {}
        for name, operations in self.operations_by_service.items():
            endpoints = {
                server.endpoint.name: server.endpoint
                for server in self.servers_by_name.values()
                if server.endpoint.service == name
            }
            services[name] = model.Service(name, operations, endpoints)
        return model.ObjectSet(self.revision, "", self.rules, services)

    def set_leaving(self, name: str, leaving: bool) -> float:
        """Publish whether an endpoint is leaving, and return the publishing time."""
        server = self.servers_by_name[name]
        server.endpoint = dataclasses.replace(server.endpoint, leaving=leaving)
        self.publish()
        return time.monotonic()

    def stop_server(self, name: str) -> list[str]:
        """Stop the node, then the endpoint, with SIGTERM; return error messages."""
        server = self.servers_by_name[name]
        problems = []
        for process in (server.node_process, server.endpoint_process):
            if process is None:
                continue
            process.terminate()
            try:
                status = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                problems.append(f"{name}: process did not exit after SIGTERM")
            else:
                if status != 0:
                    problems.append(f"{name}: process exited with status {status}")
        return problems

    def publish(self) -> int:
        """Publish the object set and the instance list at the next revision."""
        self.revision += 1
        rendered = documents.render(self.object_set(), int(time.time() * 1000))
        encoded = {k: base64.b64encode(v).decode() for k, v in rendered.items()}
        self._post_to_platform("publish", encoded)
        entries = [
            {
                "name": server.endpoint.name,
                "state": "leaving" if server.endpoint.leaving else "live",
                "failure_domain": server.endpoint.failure_domain,
                "region": server.endpoint.region,
                "control_address": server.endpoint.control_address,
            }
            for server in self.servers_by_name.values()
        ]
        self._post_to_platform("instances", entries)
        return self.revision

    def set_switches(self, name: str, **fields: object) -> dict[str, int]:
        """Change the fault switches of an endpoint and return its counters."""
        address = self.servers_by_name[name].endpoint.address
        url = f"http://{address}/control/switches"
        response = self.pool.request("POST", url, body=json.dumps(fields).encode())
        counts: dict[str, int] = json.loads(response.data)
        return counts

    def set_platform_mode(self, mode: str, **fields: object) -> None:
        """Change how the fake platform answers its readers."""
        self._post_to_platform("mode", {"mode": mode, **fields})

    def _post_to_platform(self, path: str, fields: object) -> None:
        url = f"http://{self.platform_address}/control/{path}"
        response = self.pool.request("POST", url, body=json.dumps(fields).encode())
        if response.status != 200:
            raise RuntimeError(f"{url}: status {response.status}")

    def wait_until_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every node has applied a published object set."""
        deadline = time.monotonic() + timeout_s
        for server in self.servers_by_name.values():
            while True:
                url = f"http://{server.caller_address}/readiness-check"
                response = self.pool.request("GET", url)
                if response.headers.get("snipelink-error") != "not-ready":
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{server.endpoint.name} is not ready")
                time.sleep(0.05)
