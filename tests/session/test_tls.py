from __future__ import annotations

import contextlib
import datetime
import pathlib
import ssl
import threading
import time
import typing

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from result import Err, Ok

from snipelink import errors, model
from snipelink.execute import endpoint_client, forwarding
from snipelink.generated import settings as generated
from snipelink.session import call_server, caller_server, memory, tls
from tests.session import servers
from tests.session.test_call_server import Handler
from tests.session.test_caller_server import CLOSE, GET

LIMIT = 100000


class Authority:
    """Certificate authority that writes its certificates to files."""

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self.directory, self.name = directory, name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        certificate = self._sign(self.subject, self.key.public_key(), [])
        self.ca = self._write(f"{name}-ca.pem", certificate)

    def _sign(self, subject, public_key, names: list[x509.GeneralName]):
        now = datetime.datetime.now(datetime.UTC)
        day = datetime.timedelta(days=1)
        builder = (
            x509.CertificateBuilder()
            .issuer_name(self.subject)
            .subject_name(subject)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - day)
            .not_valid_after(now + day)
        )
        constraints = x509.BasicConstraints(ca=not names, path_length=None)
        builder = builder.add_extension(constraints, critical=True)
        if names:
            builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        return builder.sign(self.key, hashes.SHA256())

    def _write(self, name: str, item) -> str:
        path = self.directory / name
        path.write_bytes(item.public_bytes(serialization.Encoding.PEM))
        return str(path)

    def issue(self, name: str) -> tuple[str, str]:
        """Issue a certificate; return the files of the certificate and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), [x509.DNSName(name)])
        path = self.directory / f"{name}-{self.name}-key.pem"
        path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return self._write(f"{name}-{self.name}.pem", certificate), str(path)


@pytest.fixture(scope="module")
def authority(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("tls"), "one")


@pytest.fixture(scope="module")
def other_authority(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("tls"), "two")


def _contexts(authority: Authority, node: str = "own") -> tls.Contexts:
    certificate, key = authority.issue(node)
    return tls.load_contexts(
        generated.Tls(
            callers=generated.ServerTls(certificate, key),
            calls=generated.MutualTls(certificate, key, authority.ca),
            endpoints=generated.ClientTls(authority.ca, node),
        )
    )


@contextlib.contextmanager
def _caller_server(
    contexts: tls.Contexts, handle: caller_server.Handle, **changes: object
) -> typing.Iterator[tuple[caller_server.CallerServer, int]]:
    with servers.serving(
        handle, tls_context=contexts.caller_server, **changes
    ) as served:
        yield served


def _client_context(authority: Authority) -> ssl.SSLContext:
    return ssl.create_default_context(cafile=authority.ca)


def _endpoint_client(
    port: int, contexts: tls.Contexts, name: str = "own"
) -> endpoint_client.EndpointClient:
    return endpoint_client.EndpointClient(
        f"127.0.0.1:{port}", "e", memory.Budget(LIMIT), contexts.endpoint_client, name
    )


def _get(client: endpoint_client.EndpointClient):
    deadline = time.monotonic() + 5
    return client.request("GET", "/a", [("host", "h")], b"", deadline, LIMIT)


def test_caller_and_endpoint_connections_use_tls_and_are_reused(authority) -> None:
    """Guards against TLS sockets that seem closed or deliver half a response."""
    recorder = servers.Recorder()
    recorder.response.body = b"x" * 90000
    contexts = _contexts(authority)
    with _caller_server(contexts, recorder.handle) as (server, port):
        client = _endpoint_client(port, contexts)
        for _ in range(3):
            assert _get(client).ok_value.body == recorder.response.body
            client.release_memory()
        assert server.open_connections() == 1
        client.close()
    assert all(request.secure for request in recorder.requests)


def test_closed_caller_is_detected_over_tls(authority) -> None:
    """Guards against a check that blocks or mistakes TLS records for a request."""
    entered, seen = threading.Event(), []

    def wait(request, cancelled):
        seen.append(cancelled())
        entered.set()
        while request.target == "/gone" and not cancelled():
            time.sleep(0.01)
        return servers.Recorder().response

    contexts = _contexts(authority)
    with _caller_server(contexts, wait) as (server, port):
        context = _client_context(authority)
        with context.wrap_socket(
            servers.connect(port), server_hostname="own"
        ) as opened:
            opened.sendall(GET + CLOSE)
            assert servers.statuses(servers.read_all(opened)) == [200, 200]
        entered.clear()
        with context.wrap_socket(
            servers.connect(port), server_hostname="own"
        ) as opened:
            opened.sendall(GET.replace(b"/a", b"/gone"))
            assert entered.wait(5)
        while server.open_connections():
            time.sleep(0.01)
    assert seen == [False, False, False]


def test_slow_handshake_does_not_block_other_callers(authority) -> None:
    """Guards against head-of-line blocking by a handshake in the accepting thread."""
    recorder = servers.Recorder()
    contexts = _contexts(authority)
    with (
        _caller_server(contexts, recorder.handle, header_timeout_s=0.5) as (_, port),
        servers.connect(port) as silent,
        servers.connect(port) as plain,
    ):
        plain.sendall(GET)
        assert isinstance(_get(_endpoint_client(port, contexts)), Ok)
        assert silent.recv(1) == b""
        with contextlib.suppress(OSError):
            assert b"200" not in servers.read_all(plain)
    assert len(recorder.requests) == 1


@pytest.mark.parametrize("wrong", ["name", "authority", "plain"])
def test_endpoint_with_an_unexpected_identity_receives_nothing(
    authority, other_authority, wrong: str
) -> None:
    """Guards against a request that is sent to an unauthenticated server."""
    recorder = servers.Recorder()
    served = _contexts(other_authority if wrong == "authority" else authority)
    expected = _contexts(authority)
    if wrong == "plain":
        served = tls.Contexts()
    with _caller_server(served, recorder.handle) as (_, port):
        name = "other" if wrong == "name" else "own"
        outcome = _get(_endpoint_client(port, expected, name))
    assert isinstance(outcome, Err)
    assert outcome.err_value.kind is errors.Kind.UNREACHABLE
    assert recorder.requests == []


@pytest.mark.parametrize("wrong", ["", "authority", "name", "no certificate", "plain"])
def test_calls_run_only_with_mutual_tls(authority, other_authority, wrong: str) -> None:
    """Guards against calls from or to a process that is not a node."""
    handler = Handler()
    server = call_server.CallServer(
        (servers.HOST, 0),
        "own",
        "i-1",
        handler,
        LIMIT,
        typing.cast(call_server.Limits, servers.limits()),
        memory.Budget(1 << 20),
        _contexts(authority, "other" if wrong == "name" else "own").call_server,
    )
    server.start()
    sender = {
        "authority": lambda: _contexts(other_authority, "peer").call_client,
        "no certificate": lambda: _client_context(authority),
        "plain": lambda: None,
    }.get(wrong, lambda: _contexts(authority, "peer").call_client)()
    forwarder = forwarding.Forwarder("peer", "i-2", LIMIT, sender)
    endpoint = model.Endpoint("own", "s", "d", "r", "", f"127.0.0.1:{server.port}")
    operation = model.Operation("get", "GET", "/", True)
    try:
        for number in range(2):
            deadline = time.monotonic() + 5
            sent = model.Call(
                f"c{number}", "s", operation, "GET", "/", [], b"x" * 50000, deadline
            )
            outcome = forwarder.forward(sent, endpoint)
            if wrong:
                assert outcome.err_value.kind is errors.Kind.UNREACHABLE
            else:
                assert outcome.ok_value.body == b"x" * 50000
                assert server.open_connections() == 1
    finally:
        forwarder.close()
        server.stop()
    assert len(handler.requests) == (0 if wrong else 2)


def test_missing_file_prevents_the_start(tmp_path: pathlib.Path) -> None:
    """Guards against a node that starts without the TLS in its settings."""
    missing = str(tmp_path / "absent.pem")
    files = generated.Tls(generated.ServerTls(missing, missing), None, None)
    with pytest.raises(OSError, match="No such file"):
        tls.load_contexts(files)
