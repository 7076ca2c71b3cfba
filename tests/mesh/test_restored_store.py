"""Nodes whose platform's store returns from an older copy, in its next era."""

from __future__ import annotations

import asyncio
import dataclasses

from snipelink.mesh import published_state
from tests.mesh import fleet
from tests.mesh.test_node import run

OUTAGE_S = 0.3
# Time within which a change must be in force in the strictest deployment, seconds.
MAX_APPLY_S = 2.0
# Times that the calls around a restore and around a lost history are counted.
ROUND_COUNT = 3
NEW_ROUTE = fleet.route("rota", "/new/")


def _advance(members: list[fleet.Member], count: int = 40) -> None:
    for _ in range(count):
        fleet.publish(members)


async def _restore(
    members: list[fleet.Member], copy: published_state.PublishedState
) -> None:
    for member in members:
        member.store.cut()
    await asyncio.sleep(OUTAGE_S)
    for member in members:
        member.store.restore(copy)


def _publish_new_route(members: list[fleet.Member], version: int) -> None:
    fleet.publish(members, fleet.configuration(NEW_ROUTE, version=version))


async def _statuses(
    members: list[fleet.Member], name: str, path: str = "/new/1"
) -> list[int]:
    statuses = []
    for member in members:
        client = await fleet.Client.open(member)
        response = await client.call(f"{name}-{member.host}", path=path)
        statuses.append(response.status)
    return statuses


@run
async def test_new_version_is_in_force_at_all_nodes_after_a_restore() -> None:
    """Guards against nodes that ignore all that follows a restore.

    They compared revisions of two histories, and read the store without end.
    """
    async with fleet.running(*["rota"] * 6) as members:
        copy = members[0].store.state
        _advance(members)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        await _restore(members, copy)
        await asyncio.sleep(MAX_APPLY_S)
        _publish_new_route(members, version=20)
        await asyncio.sleep(MAX_APPLY_S)
        assert await _statuses(members, "c") == [200] * 6


@run
async def test_restore_costs_the_store_no_more_calls_than_a_lost_history() -> None:
    # The counts vary by a few calls, with the random pauses of the nodes.
    call_counts = {False: 0, True: 0}
    async with fleet.running(*["rota"] * 4) as members:
        copy = members[0].store.state
        for is_restored in (False, True) * ROUND_COUNT:
            _advance(members)
            await fleet.wait_until(lambda: fleet.all_up_to_date(members))
            before = sum(member.store.call_count for member in members)
            if is_restored:
                await _restore(members, copy)
            else:
                await _restore_nothing(members)
            await asyncio.sleep(MAX_APPLY_S)
            after = sum(member.store.call_count for member in members)
            call_counts[is_restored] += after - before
    allowed = call_counts[False] + ROUND_COUNT * len(members)
    assert call_counts[True] <= allowed, call_counts


async def _restore_nothing(members: list[fleet.Member]) -> None:
    """Cut off the store for as long as `_restore`; the history is lost meanwhile."""
    for member in members:
        member.store.cut()
    await asyncio.sleep(OUTAGE_S)
    for member in members:
        member.store.is_unavailable = False
    _advance(members, 1)


@run
async def test_two_restores_in_a_row_are_followed() -> None:
    async with fleet.running("rota", "rota", "rota") as members:
        copy = members[0].store.state
        for version in (20, 30):
            _advance(members)
            _publish_new_route(members, version)
            await fleet.wait_until(lambda: fleet.all_up_to_date(members))
            await _restore(members, copy)
        _publish_new_route(members, version=40)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        assert {member.node.position.era for member in members} == {2}
        for member in members:
            exposition = member.node._metrics_response().body
            assert b"\nsnipelink_mesh_store_era 2" in bytes(exposition)
        assert await _statuses(members, "c") == [200] * 3


@run
async def test_node_without_the_store_learns_of_the_restore_from_other_nodes() -> None:
    """Guards against a node that keeps to the state before the restore."""
    async with fleet.running("rota", "rota", "rota") as members:
        cut, *others = members
        copy = cut.store.state
        _advance(members)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        cut.store.cut()
        await _restore(others, copy)
        _publish_new_route(others, version=20)
        await asyncio.sleep(MAX_APPLY_S)
        assert cut.node.position == others[0].store.state.position
        assert await _statuses(members, "c") == [200] * 3


@run
async def test_version_that_the_copy_lacks_stays_in_force() -> None:
    """A node that starts after the restore learns that version from other nodes."""
    async with fleet.running("rota", "rota", "rota") as members:
        *others, starting = members
        copy = dataclasses.replace(starting.store.state, configuration=None)
        _publish_new_route(members, version=20)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        await starting.end()
        await _restore(members, copy)
        await fleet.wait_until(lambda: fleet.all_up_to_date(others))
        assert await _statuses(others, "c") == [200] * 2
        started = fleet.make_member("rota", starting.store)
        await started.start()
        try:
            await fleet.wait_until(lambda: started.node.is_ready)
            assert await _statuses([started], "d") == [200]
        finally:
            await started.end()


@run
async def test_endpoint_that_left_before_the_restore_gets_no_calls_after_it() -> None:
    """Guards against calls to an endpoint whose leaving the copy does not contain."""
    async with fleet.running("rota", "rota", "rota") as members:
        calling, leaving, removed = members
        copy = calling.store.state
        entries = tuple(
            fleet.published_instance(member, leaving=member is leaving)
            for member in (calling, leaving)
        )
        fleet.publish(members, None, entries)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        await _restore(members, copy)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        client = await fleet.Client.open(calling)
        for number in range(12):
            await client.call(f"c{number}")
        assert not leaving.endpoint.received
        assert not removed.endpoint.received
