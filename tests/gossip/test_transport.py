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

WAIT_S = 10.0


@pytest.fixture(scope="module")
def key_files(tmp_path_factory: pytest.TempPathFactory) -> list[str]:
    directory = tmp_path_factory.mktemp("keys")
    return [
        zmq.auth.create_certificates(directory, name)[1] for name in ("a", "b", "c")
    ]


@pytest.fixture
def make(
    key_files: list[str],
) -> Iterator[Callable[[str], transport.Transport]]:
    opened: list[transport.Transport] = []

    def _make(names: str) -> transport.Transport:
        chosen = [key_files["abc".index(name)] for name in names]
        pairs = keys.load(chosen).unwrap()
        now = time.monotonic()
        limit = budget.Budget(now)
        opened.append(transport.Transport("127.0.0.1:0", pairs, limit, now))
        return opened[-1]

    yield _make
    for item in opened:
        item.close()


def _receive(*targets: transport.Transport, done: Callable[[], bool]) -> list[bytes]:
    """Run transports until a condition holds; return all frames."""
    frames = []
    deadline = time.monotonic() + WAIT_S
    while not done() and time.monotonic() < deadline:
        for target in targets:
            now = time.monotonic()
            frames += [item.frame for item in target.receive(0.01, now)]
    assert done()
    return frames


def _exchange(sender: transport.Transport, receiver: transport.Transport) -> bool:
    """Send a question and return whether its answer arrives."""
    route = exchange.Route(receiver.address)
    question = f"from {sender.address}".encode()
    answer = b"answer " + question
    sender.send(route, question)
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        now = time.monotonic()
        for item in receiver.receive(0.01, now):
            if item.frame == question:
                receiver.send(item.route, answer)
        if answer in [item.frame for item in sender.receive(0.01, now)]:
            return True
        if sender.counts_by_event["connections"] > 1:  # the other key is being tried
            sender.send(route, question)
    return False


def test_question_and_answer(make: Callable[[str], transport.Transport]) -> None:
    """Guards against frames that don't arrive or answers to the wrong node."""
    assert _exchange(make("a"), make("a"))


@pytest.mark.parametrize(
    ("one", "other"), [("a", "ab"), ("ab", "ba"), ("ba", "b"), ("ab", "a")]
)
def test_rotation_steps_understand_each_other(
    make: Callable[[str], transport.Transport],
    monkeypatch: pytest.MonkeyPatch,
    one: str,
    other: str,
) -> None:
    """Guards against a fleet that falls apart while its key is replaced."""
    monkeypatch.setattr(transport, "KEY_TRIAL_TIMEOUT_S", 0.3)
    first, second = make(one), make(other)
    assert _exchange(first, second)
    assert _exchange(second, first)


def test_stranger_is_refused_and_counted(
    make: Callable[[str], transport.Transport], key_files: list[str]
) -> None:
    """Guards against a stranger with its own key that is let in."""
    target = make("a")
    server_key = keys.load(key_files[:1]).unwrap()[0].public
    public, secret = zmq.curve_keypair()
    with zmq.Context() as context, context.socket(zmq.DEALER) as stranger:
        stranger.linger = 0
        stranger.curve_serverkey = server_key
        stranger.curve_publickey, stranger.curve_secretkey = public, secret
        stranger.connect(f"tcp://{target.address}")
        stranger.send(b"let me in")
        counts = target.counts_by_event
        frames = _receive(target, done=lambda: counts["refused-key"] > 0)
    assert frames == []
    assert _exchange(make("a"), target)


def test_garbage_on_the_port_is_refused(
    make: Callable[[str], transport.Transport],
) -> None:
    """Guards against raw bytes that stop the control port or pass its handshake."""
    target = make("a")
    host, port = target.address.split(":")
    counts = target.counts_by_event
    rng = random.Random(1)
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
    for content in (
        rng.randbytes(5000),
        greeting + bytes(200),
        b"GET / HTTP/1.1\r\n\r\n",
    ):
        with socket.create_connection((host, int(port))) as stranger:
            stranger.sendall(content)
            frames = _receive(target, done=lambda: True)
            assert frames == []
    _receive(target, done=lambda: counts["refused-handshake"] > 0)
    assert _exchange(make("a"), target)


def test_oversized_message_closes_the_connection_only(
    make: Callable[[str], transport.Transport],
) -> None:
    """Guards against a message that exhausts memory or ends the exchange."""
    target, sender = make("a"), make("a")
    route = exchange.Route(target.address)
    sender.send(route, bytes(transport.ZMQ_MAX_MESSAGE_BYTES + 1))
    sender.send(route, b"small")
    frames = _receive(target, sender, done=lambda: True)
    assert all(len(frame) <= transport.ZMQ_MAX_MESSAGE_BYTES for frame in frames)
    assert _exchange(make("a"), target)


def test_connections_are_bounded(make: Callable[[str], transport.Transport]) -> None:
    """Guards against sockets that grow with the number of peers ever contacted."""
    sender = make("a")
    sender.receive(0, time.monotonic())
    for port in range(10_000, 10_000 + transport.MAX_CONNECTIONS + 5):
        sender._budget.refund(codec.CONNECTION_OVERHEAD_BYTES)
        sender.send(exchange.Route(f"127.0.0.1:{port}"), b"x")
    assert len(sender._connections_by_address) == transport.MAX_CONNECTIONS
    assert not sender.send(exchange.Route("nonsense"), b"x")


def test_used_up_budget_leaves_messages_in_the_sockets(
    make: Callable[[str], transport.Transport],
) -> None:
    """Guards against a flood of messages that is read beyond the budget."""
    target, sender = make("a"), make("a")
    route = exchange.Route(target.address)
    sender.send(route, b"first")
    _receive(target, sender, done=lambda: target._budget.available_ratio(0.0) < 1)
    target._budget.charge(10 * budget.BURST_BYTES, time.monotonic())
    for _ in range(50):
        sender.send(route, b"flood")
    for _ in range(10):
        assert not [
            f for f in target.receive(0.01, time.monotonic()) if f.frame == b"flood"
        ]


def test_charged_bytes_cover_the_network(
    make: Callable[[str], transport.Transport],
) -> None:
    """Guards against an envelope that costs more than is charged for it."""
    target, sender = make("a"), make("a")
    with socket.create_server(("127.0.0.1", 0)) as relay:
        relay.settimeout(WAIT_S)
        address = f"127.0.0.1:{relay.getsockname()[1]}"
        sender.send(exchange.Route(address), bytes(1000))
        inbound, _ = relay.accept()
        host, port = target.address.split(":")
        with inbound, socket.create_connection((host, int(port))) as outbound:
            passed = _relay(inbound, outbound, target, sender)
    charged = 2 * codec.CONNECTION_OVERHEAD_BYTES + codec.network_bytes(bytes(1000))
    assert 1000 < passed < charged


def _relay(
    inbound: socket.socket,
    outbound: socket.socket,
    target: transport.Transport,
    sender: transport.Transport,
) -> int:
    """Pass bytes both ways until the target has received; return their number."""
    passed = 0
    deadline = time.monotonic() + WAIT_S
    inbound.setblocking(False)
    outbound.setblocking(False)
    while time.monotonic() < deadline:
        for source, sink in ((inbound, outbound), (outbound, inbound)):
            try:
                block = source.recv(65_536)
            except BlockingIOError:
                continue
            passed += len(block)
            sink.sendall(block)
        list(sender.receive(0.0, time.monotonic()))
        if list(target.receive(0.01, time.monotonic())):
            return passed
    raise AssertionError("nothing was received")


def test_damaged_key_file_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a node that starts with an unusable key."""
    path = tmp_path / "x.key_secret"
    path.write_text("nonsense")
    assert keys.load([str(path)]).is_err()
    assert keys.load([str(tmp_path / "none")]).is_err()
    assert keys.load([]).is_err()
