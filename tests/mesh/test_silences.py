from __future__ import annotations

import pytest

from snipelink.mesh import channel, silences

ADDRESS = ("127.0.0.9", 21396)


def test_silent_end_of_a_connection_is_counted_by_the_role_of_its_peer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    noted = silences.Silences()
    for role in silences.Role:
        stream = channel.Channel()
        noted.watch(stream, role, ADDRESS)
        stream.connection_lost(TimeoutError(110, "Connection timed out"))
        assert noted.count_by_role[role] == 1
    assert [record.message for record in caplog.records] == [
        "connection is silent"
    ] * len(silences.Role)


def test_reset_and_ordinary_end_are_not_taken_for_silence() -> None:
    noted = silences.Silences()
    for error in (None, ConnectionResetError(104, "Connection reset by peer")):
        stream = channel.Channel()
        noted.watch(stream, silences.Role.NODE, ADDRESS)
        stream.connection_lost(error)
    assert not any(noted.count_by_role.values())
