from __future__ import annotations

import pytest

from snipelink.decide import store_outage, watch_rotation

NOW = 100.0
AWAY = store_outage.Contact(is_away=True, answered_at=NOW - 1.5)
WATCHING = store_outage.Contact(answered_at=NOW - watch_rotation.TURN_S)
RESTING = store_outage.Contact(answered_at=NOW - 20.0)
STARTED = store_outage.Contact()


@pytest.mark.parametrize(
    ("contacts", "is_out"),
    [
        ([], False),
        ([WATCHING] * 3, False),
        ([RESTING, STARTED], False),
        ([AWAY], True),
        ([AWAY, WATCHING], False),
        ([AWAY, WATCHING, WATCHING, RESTING], False),
        ([AWAY, RESTING, STARTED], True),
        ([AWAY] * 6 + [WATCHING] * 3 + [RESTING] * 70, True),
    ],
)
def test_store_is_out_if_more_nodes_are_away_than_are_answered(
    contacts: list[store_outage.Contact], *, is_out: bool
) -> None:
    assert store_outage.is_store_out(contacts, NOW) is is_out


def test_answer_counts_as_recent_until_the_next_one_of_a_watching_node() -> None:
    longest_s = watch_rotation.TURN_S + watch_rotation.ROTATION_PAUSE_S
    assert longest_s < store_outage.RECENT_ANSWER_S
