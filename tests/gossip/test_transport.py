from __future__ import annotations

import pathlib
import random
import socket
import time
from collections.abc import Callable, Iterator

import pytest
import zmq
import zmq.auth

from snipelink.gossip import budget, codec, exchange, keys, transport

TIMEOUT_S = 10.0


@pytest.fixture(scope="module")
def key_files(tmp_path_factory: pytest.TempPathFactory) -> list[str]:
    directory = tmp_path_factory.mktemp("keys")
    return [
        zmq.auth.create_certificates(directory, name)[1] for name in ("a", "b", "c")
    ]


@pytest.fixture
def make_transport(
    key_files: list[str],
) -> Iterator[Callable[[str], transport.Transport]]:
    transports: list[transport.Transport] = []

    def _make_transport(names: str) -> transport.Transport:
        chosen = [key_files["abc".index(name)] for name in names]
        pairs = keys.load(chosen).unwrap()
        now = time.monotonic()
        traffic_budget = budget.Budget(now)
        transports.append(
            transport.Transport("127.0.0.1:0", pairs, traffic_budget, now)
        )
        return transports[-1]

    yield _make_transport
    for item in transports:
        item.close()


def _receive(*transports: transport.Transport, done: Callable[[], bool]) -> list[bytes]:
    """Run transports until a condition holds; return all received frames."""
    frames = []
    deadline = time.monotonic() + TIMEOUT_S
    while not done() and time.monotonic() < deadline:
        for receiver in transports:
            now = time.monotonic()
            frames += [item.frame for item in receiver.receive(0.01, now)]
    assert done()
    return frames


def _is_answered(sender: transport.Transport, receiver: transport.Transport) -> bool:
    """Send a question and return whether its answer arrives in time."""
    route = exchange.Route(receiver.address)
    question = f"from {sender.address}".encode()
    answer = b"answer " + question
    sender.send(route, question)
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        now = time.monotonic()
        for item in receiver.receive(0.01, now):
            if item.frame == question:
                receiver.send(item.route, answer)
        if answer in [item.frame for item in sender.receive(0.01, now)]:
            return True
        if sender.counts_by_event["connections"] > 1:  # reconnected with the other key
            sender.send(route, question)
    return False


def test_question_and_answer(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against lost frames and answers to the wrong node."""
    assert _is_answered(make_transport("a"), make_transport("a"))


@pytest.mark.parametrize(
    ("one", "other"), [("a", "ab"), ("ab", "ba"), ("ba", "b"), ("ab", "a")]
)
def test_adjacent_key_rotation_steps_interoperate(
    make_transport: Callable[[str], transport.Transport],
    monkeypatch: pytest.MonkeyPatch,
    one: str,
    other: str,
) -> None:
    """Guards against nodes that can't connect during a key rotation."""
    monkeypatch.setattr(transport, "KEY_TRIAL_TIMEOUT_S", 0.3)
    first, second = make_transport(one), make_transport(other)
    assert _is_answered(first, second)
    assert _is_answered(second, first)


def test_unknown_key_is_refused_and_counted(
    make_transport: Callable[[str], transport.Transport], key_files: list[str]
) -> None:
    """Guards against admitting a client that uses an unknown key."""
    receiver = make_transport("a")
    server_key = keys.load(key_files[:1]).unwrap()[0].public
    public, secret = zmq.curve_keypair()
    with zmq.Context() as context, context.socket(zmq.DEALER) as raw_client:
        raw_client.linger = 0
        raw_client.curve_serverkey = server_key
        raw_client.curve_publickey, raw_client.curve_secretkey = public, secret
        raw_client.connect(f"tcp://{receiver.address}")
        raw_client.send(b"let me in")
        counts = receiver.counts_by_event
        frames = _receive(receiver, done=lambda: counts["refused-key"] > 0)
    assert frames == []
    assert _is_answered(make_transport("a"), receiver)


def test_raw_bytes_on_the_port_are_refused(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against raw bytes that stop the control port or pass the handshake."""
    receiver = make_transport("a")
    host, port = receiver.address.split(":")
    counts = receiver.counts_by_event
    rng = random.Random(1)
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
    for content in (
        rng.randbytes(5000),
        greeting + bytes(200),
        b"GET / HTTP/1.1\r\n\r\n",
    ):
        with socket.create_connection((host, int(port))) as raw_client:
            raw_client.sendall(content)
            frames = _receive(receiver, done=lambda: True)
            assert frames == []
    _receive(receiver, done=lambda: counts["refused-handshake"] > 0)
    assert _is_answered(make_transport("a"), receiver)


def test_oversized_message_closes_only_its_connection(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against a message that exhausts memory or stops the transport."""
    receiver, sender = make_transport("a"), make_transport("a")
    route = exchange.Route(receiver.address)
    sender.send(route, bytes(transport.ZMQ_MAX_MESSAGE_BYTES + 1))
    sender.send(route, b"small")
    frames = _receive(receiver, sender, done=lambda: True)
    assert all(len(frame) <= transport.ZMQ_MAX_MESSAGE_BYTES for frame in frames)
    assert _is_answered(make_transport("a"), receiver)


def test_connections_are_bounded(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against one open socket for each peer that was ever contacted."""
    sender = make_transport("a")
    sender.receive(0, time.monotonic())
    for port in range(10_000, 10_000 + transport.MAX_CONNECTIONS + 5):
        sender._budget.refund(codec.CONNECTION_OVERHEAD_BYTES)
        sender.send(exchange.Route(f"127.0.0.1:{port}"), b"x")
    assert len(sender._connections_by_address) == transport.MAX_CONNECTIONS
    assert not sender.send(exchange.Route("nonsense"), b"x")


def test_messages_stay_unread_while_the_budget_is_exhausted(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against reading a flood of messages beyond the budget."""
    receiver, sender = make_transport("a"), make_transport("a")
    route = exchange.Route(receiver.address)
    sender.send(route, b"first")
    _receive(receiver, sender, done=lambda: receiver._budget.available_ratio(0.0) < 1)
    receiver._budget.charge(10 * budget.BURST_BYTES, time.monotonic())
    for _ in range(50):
        sender.send(route, b"flood")
    for _ in range(10):
        assert not [
            f for f in receiver.receive(0.01, time.monotonic()) if f.frame == b"flood"
        ]


def test_charged_bytes_cover_the_network_traffic(
    make_transport: Callable[[str], transport.Transport],
) -> None:
    """Guards against protocol overhead that exceeds what the budget is charged."""
    receiver, sender = make_transport("a"), make_transport("a")
    with socket.create_server(("127.0.0.1", 0)) as relay:
        relay.settimeout(TIMEOUT_S)
        address = f"127.0.0.1:{relay.getsockname()[1]}"
        sender.send(exchange.Route(address), bytes(1000))
        inbound, _ = relay.accept()
        host, port = receiver.address.split(":")
        with inbound, socket.create_connection((host, int(port))) as outbound:
            relayed_bytes = _relay(inbound, outbound, receiver, sender)
    charged = 2 * codec.CONNECTION_OVERHEAD_BYTES + codec.network_bytes(bytes(1000))
    assert 1000 < relayed_bytes < charged


def _relay(
    inbound: socket.socket,
    outbound: socket.socket,
    receiver: transport.Transport,
    sender: transport.Transport,
) -> int:
    """Relay bytes both ways until the receiver has a frame; return their number."""
    relayed_bytes = 0
    deadline = time.monotonic() + TIMEOUT_S
    inbound.setblocking(False)
    outbound.setblocking(False)
    while time.monotonic() < deadline:
        for source, sink in ((inbound, outbound), (outbound, inbound)):
            try:
                block = source.recv(65_536)
            except BlockingIOError:
                continue
            relayed_bytes += len(block)
            sink.sendall(block)
        list(sender.receive(0.0, time.monotonic()))
        if list(receiver.receive(0.01, time.monotonic())):
            return relayed_bytes
    raise AssertionError("nothing was received")


def test_damaged_key_file_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a node that starts with an unusable key."""
    path = tmp_path / "x.key_secret"
    path.write_text("nonsense")
    assert keys.load([str(path)]).is_err()
    assert keys.load([str(tmp_path / "none")]).is_err()
    assert keys.load([]).is_err()
