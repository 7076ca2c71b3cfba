from __future__ import annotations

import dataclasses
import typing

from snipelink import model
from snipelink.execute import keyed_calls, quorum, service_state
from tests.execute import test_hedging

OWNER = model.Endpoint("caller", "s", "d-1", "d", "127.0.0.1:1", "127.0.0.1:1")


class InterruptedQuorum:
    """Confirms every revision; a newer set arrives during the first query."""

    def __init__(self, arrive: typing.Callable[[], None]) -> None:
        self._arrive = arrive

    def majority_has_reached(self, owners: object, revision: int) -> bool:
        self._arrive()
        return True

    def confirms_latest(self, owners: object, revision: int) -> bool:
        return True


def make_set(revision: int, published_at: float) -> model.ObjectSet:
    service = model.Service("s", (), {OWNER.name: OWNER})
    return model.ObjectSet(revision, "", (), {"s": service}, published_at)


def test_owners_are_adopted_with_the_handover_time_of_their_own_set() -> None:
    """Guards against two owners of a key if a set arrives during the quorum query."""
    state = test_hedging.make_state(OWNER)
    state._is_own_service = True
    second, third = make_set(2, 1000.0), make_set(3, 5000.0)
    state.update(second.services_by_name["s"], second)
    adopted: list[tuple[int, float]] = []

    class Recorder:
        revision = 1

        def apply_revision(
            self, revision: int, owners: object, wall: float, handover: float
        ) -> None:
            adopted.append((revision, handover))

        def is_lease_renewal_due(self, now: float) -> bool:
            return False

    state.keys = typing.cast(typing.Any, Recorder())
    interrupted_quorum = InterruptedQuorum(
        lambda: state.update(third.services_by_name["s"], third)
    )
    calls = keyed_calls.KeyedCalls(
        "caller",
        typing.cast(typing.Any, None),
        typing.cast(quorum.Quorum, interrupted_quorum),
        typing.cast(typing.Any, None),
    )
    calls.refresh_ownership(state)
    assert adopted == [(2, 1000.0 + service_state.KEY_HANDOVER_DELAY_S)]
    assert state.key_owners.revision == 3


def test_leaving_endpoint_owns_no_new_keys() -> None:
    """Guards against keys that are lost with an endpoint that is being removed."""
    leaving = dataclasses.replace(OWNER, leaving=True)
    service = model.Service("s", (), {OWNER.name: leaving})
    assert service_state.find_key_owners(service, make_set(2, 0.0)).names == []
