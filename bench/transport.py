"""Compares the latency of framed TCP and ZeroMQ for calls between two processes.

Usage:
  transport [--calls=N] [--rate=R] [--clients=N] [--seed=N]
  transport serve (tcp|zmq) ADDRESS

Options:
  --calls=N    Number of calls per transport and round [default: 2400].
  --rate=R     Calls per second over all clients [default: 240].
  --clients=N  Client threads; each has a separate connection [default: 8].
  --seed=N     Seed of the arrival times [default: 1].

The TCP server serves each connection with one thread. The ZeroMQ server passes the
messages of its ROUTER socket to worker threads, because a call may block a thread.
The load is open-loop: each client thread sends its calls at planned times.
"""

from __future__ import annotations

import random
import socket
import subprocess
import sys
import threading
import time

import docopt
import zmq

from bench import deployment, latency
from snipelink.session import frames

PAYLOAD = b"x" * 500
WORKERS = 8
ROUNDS = 3
QUANTILES = (0.5, 0.99, 0.999)
TRANSPORTS = ("tcp", "zmq")


def serve_tcp(address: str) -> None:
    host, port = address.rsplit(":", 1)
    listener = socket.create_server((host, int(port)))

    def echo(connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (payload := frames.receive(connection, 65536)) is not None:
            frames.send(connection, payload)

    while True:
        connection, _ = listener.accept()
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


def serve_zmq(address: str) -> None:
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    router.bind(f"tcp://{address}")
    workers = context.socket(zmq.DEALER)
    workers.bind("inproc://workers")

    def echo() -> None:
        worker = context.socket(zmq.REP)
        worker.connect("inproc://workers")
        while True:
            worker.send(worker.recv())

    for _ in range(WORKERS):
        threading.Thread(target=echo, daemon=True).start()
    zmq.proxy(router, workers)


def call_tcp(address: str, due_times: list[float], latencies_s: list[float]) -> None:
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for due in due_times:
            wait_until(due)
            frames.send(connection, PAYLOAD)
            frames.receive(connection, 65536)
            latencies_s.append(time.perf_counter() - due)


def call_zmq(address: str, due_times: list[float], latencies_s: list[float]) -> None:
    requester = zmq.Context.instance().socket(zmq.REQ)
    requester.connect(f"tcp://{address}")
    for due in due_times:
        wait_until(due)
        requester.send(PAYLOAD)
        requester.recv()
        latencies_s.append(time.perf_counter() - due)
    requester.close()


def wait_until(due: float) -> None:
    delay = due - time.perf_counter()
    if delay > 0:
        time.sleep(delay)


def run(
    transport: str, address: str, options: dict[str, str], seed: str
) -> list[float]:
    rng = random.Random(seed)
    clients, rate = int(options["--clients"]), float(options["--rate"])
    due_times_by_client: list[list[float]] = [[] for _ in range(clients)]
    due = time.perf_counter() + 0.2
    for index in range(int(options["--calls"])):
        due += rng.expovariate(rate)
        due_times_by_client[index % clients].append(due)
    call = {"tcp": call_tcp, "zmq": call_zmq}[transport]
    latencies_s: list[float] = []
    threads = [
        threading.Thread(target=call, args=(address, due_times, latencies_s))
        for due_times in due_times_by_client
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies_s


def compare(options: dict[str, str]) -> None:
    ports = deployment.free_ports(2)
    processes = {}
    for transport, port in zip(TRANSPORTS, ports, strict=True):
        command = [sys.executable, "-m", "bench.transport", "serve", transport]
        address = f"127.0.0.1:{port}"
        processes[transport] = (subprocess.Popen([*command, address]), address)
        deployment.wait_for_port(address)
    latencies: dict[str, list[float]] = {name: [] for name in TRANSPORTS}
    cpu_s = dict.fromkeys(TRANSPORTS, 0.0)
    for turn in range(ROUNDS):
        for name, (process, address) in processes.items():
            before = latency.cpu_seconds([process.pid])
            latencies[name] += run(
                name, address, options, f"{options['--seed']}-{turn}"
            )
            cpu_s[name] += latency.cpu_seconds([process.pid]) - before
    for process, _ in processes.values():
        process.terminate()
        process.wait()
    print("transport   calls   p50 ms   p99 ms  p99.9 ms  server CPU ms/call")
    for name, values in latencies.items():
        p50, p99, p999 = (
            1000 * latency.quantile(values, q) for q in (0.5, 0.99, 0.999)
        )
        cpu_ms = 1000 * cpu_s[name] / len(values)
        print(
            f"{name:9s} {len(values):7d} {p50:8.3f} {p99:8.3f} {p999:9.3f}"
            f" {cpu_ms:12.3f}"
        )


def main() -> None:
    options = docopt.docopt(__doc__)
    if options["serve"]:
        serve = serve_tcp if options["tcp"] else serve_zmq
        serve(options["ADDRESS"])
    else:
        compare(options)


if __name__ == "__main__":
    main()
