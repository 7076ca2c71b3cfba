from __future__ import annotations

import socket
import threading
import time

import pytest

from bench import deployment, load_generator, relay

KIND = load_generator.CallKind("a", "get", "GET", "/items/{id}", True)
KEYED = load_generator.CallKind("a", "order", "POST", "/orders", False, keyed=True)
STALL_S = 0.5


def test_plan_is_deterministic_and_repeats_keys() -> None:
    """Guards against plans that differ although their seeds are equal."""
    times = load_generator.constant_arrivals(50, 2.0)
    plans = [
        load_generator.plan_calls(3, times, [KIND, KEYED], ["x", "y"], 0.5)
        for _ in range(2)
    ]
    summaries = [[(c.token, c.offset_s, c.entry, c.body) for c in p] for p in plans]
    assert summaries[0] == summaries[1]
    repeats = [call for call in plans[0] if call.token.endswith("r")]
    assert repeats
    keys = {call.token: call.key for call in plans[0]}
    assert all(keys[call.token[:-1]] == call.key for call in repeats)


def stalling_server(listener: socket.socket) -> None:
    """Answer three requests in turn after a stall."""
    connections = []
    for _ in range(3):
        connections.append(listener.accept()[0])
    time.sleep(STALL_S)
    for connection in connections:
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")


def test_latency_counts_from_the_intended_time() -> None:
    """Guards against coordinated omission.

    A stall would be hidden if later calls were sent, and measured, only after it.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=stalling_server, args=(listener,), daemon=True)
    thread.start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    calls = load_generator.plan_calls(1, [0.0, 0.1, 0.2], [KIND], ["x"])
    records = load_generator.Runner({"x": address}, {"a": "a.test"}).run(calls)
    thread.join(5)
    listener.close()
    intended_at = sorted(record.intended_at for record in records)
    gaps = [later - intended_at[0] for later in intended_at]
    assert gaps == pytest.approx([0.0, 0.1, 0.2])
    assert all(not record.body_valid for record in records)
    assert max(record.latency_s for record in records) >= STALL_S


def test_refused_connection_is_recorded_as_lost() -> None:
    """Guards against calls without a record when their node is down."""
    address = f"127.0.0.1:{deployment.free_ports(1)[0]}"
    calls = load_generator.plan_calls(1, [0.0], [KIND], ["x"])
    (record,) = load_generator.Runner({"x": address}, {"a": "a.test"}).run(calls)
    assert record.outcome == "lost"
    assert record.detail


@pytest.fixture
def relayed_listener() -> tuple[relay.Relay, socket.socket, str]:
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{deployment.free_ports(1)[0]}"
    started = relay.Relay(address, f"127.0.0.1:{listener.getsockname()[1]}")
    started.start()
    yield started, listener, address
    started.stop()
    listener.close()


def open_connection(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), 5)


def test_relay_passes_data_and_drops_connections(
    relayed_listener: tuple[relay.Relay, socket.socket, str],
) -> None:
    """Guards against a dropped connection that stays open."""
    started_relay, listener, address = relayed_listener
    client = open_connection(address)
    server, _ = listener.accept()
    client.sendall(b"hello")
    assert server.recv(10) == b"hello"
    started_relay.set_mode(relay.Mode.DROP)
    with pytest.raises(ConnectionResetError):
        client.recv(10)
    server.close()


def test_black_hole_discards_data_without_closing(
    relayed_listener: tuple[relay.Relay, socket.socket, str],
) -> None:
    """Guards against a black hole that the client detects immediately."""
    started_relay, listener, address = relayed_listener
    client = open_connection(address)
    server, _ = listener.accept()
    started_relay.set_mode(relay.Mode.BLACK_HOLE)
    client.sendall(b"lost")
    client.settimeout(0.3)
    with pytest.raises(TimeoutError):
        client.recv(10)
    started_relay.set_mode(relay.Mode.PASS)
    server.settimeout(5)
    assert server.recv(10) == b""
    server.close()
