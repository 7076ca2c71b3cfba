from __future__ import annotations

import asyncio
import itertools
import logging

import pytest

from snipelink.mesh import channel
from snipelink.session import http
from tests.mesh import fleet

KILLER = "/view/killer"
# Time after which a crashed endpoint is back, seconds; shorter than in service.
BACK_AFTER_S = 0.4
# Time within which all nodes know of a contained request, seconds.
KNOWN_WITHIN_S = 1.0


async def crash_on_killer(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash at the killer, come back as the same process; answer all else."""
    await asyncio.sleep(endpoint.work_s)
    if request.path.endswith("/killer"):
        endpoint.crash(BACK_AFTER_S, endpoint.instance)
        return
    stream.write(endpoint.response(request))


async def crash_and_change(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash at the killer, come back as another process; answer all else."""
    if request.path.endswith("/killer"):
        endpoint.crash(BACK_AFTER_S, f"{endpoint.instance}x")
        return
    await fleet.answer_ok(endpoint, request, stream)


async def reset_all_on_killer(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    if request.path.endswith("/killer"):
        endpoint.reset_all()
        return
    await fleet.answer_ok(endpoint, request, stream)


def killers_seen(members: list[fleet.Member]) -> int:
    return sum(
        seen.request.path.endswith("/killer")
        for member in members
        for seen in member.endpoint.seen
    )


async def ask(member: fleet.Member, call_id: str, **fields: str) -> http.Response:
    client = await fleet.Client.open(member)
    try:
        return await client.ask(call_id, **fields)
    finally:
        client.stream.abort()


def is_contained(response: http.Response) -> bool:
    return dict(response.headers).get("snipelink-error") == "crash-suspect"


def republish(members: list[fleet.Member]) -> None:
    fleet.publish(members, instances=tuple(fleet.published(m) for m in members))


async def contain(members: list[fleet.Member], service: str = "rota") -> None:
    """Repeat the killer at all nodes of its caller in turn until it is refused."""
    callers = [m for m in members if m.endpoint.service == service]
    for index in range(40):
        republish(members)
        response = await ask(callers[index % len(callers)], f"k{index}", path=KILLER)
        if is_contained(response):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"{killers_seen(members)} endpoints ran it, and still do")


@pytest.mark.parametrize("script", [crash_on_killer, crash_and_change])
def test_request_that_crashes_endpoints_reaches_few(script: fleet.Script) -> None:
    """Guards against a request that comes again at any machine, without end."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 5) as members:
            for member in members:
                member.endpoint.script = script
            await contain(members)
            await asyncio.sleep(KNOWN_WITHIN_S)
            reached = killers_seen(members)
            assert reached <= 4
            for index, member in enumerate(members * 2):
                republish(members)
                assert is_contained(await ask(member, f"r{index}", path=KILLER))
            assert killers_seen(members) == reached

    asyncio.run(check())


def test_request_that_may_run_once_is_refused_unsent_or_told_as_unknown() -> None:
    """Guards against `not run` for a request that has just crashed an endpoint."""

    async def check() -> None:
        once = fleet.route("rota", "/claim/", idempotent=False)
        async with fleet.running(*["rota"] * 4, routes=(once,)) as members:
            for member in members:
                member.endpoint.script = crash_on_killer
            for index in range(10):
                before = killers_seen(members)
                response = await ask(
                    members[index % 4], f"k{index}", path="/claim/killer", method="POST"
                )
                sent = killers_seen(members) - before
                assert sent <= 1
                assert response.status == (502 if sent else 503)
                await asyncio.sleep(BACK_AFTER_S)
            assert is_contained(response)
            assert killers_seen(members) <= 3

    asyncio.run(check())


def test_calls_beside_crashes_are_served_afterwards() -> None:
    """Guards against blame for calls that merely ran on endpoints that crashed."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 4) as members:
            for member in members:
                member.endpoint.script = crash_on_killer
                member.endpoint.work_s = 0.1
            beside: set[str] = set()
            crashed = False
            for index in range(20):
                paths = ["/view/often", *(f"/view/once-{index}-{i}" for i in range(4))]
                beside.update(paths)
                asked = [
                    asyncio.ensure_future(ask(member, f"{index}{path}", path=path))
                    for path, member in zip(paths, itertools.cycle(members))
                ]
                await asyncio.sleep(0.05)
                response = await ask(members[index % 4], f"k{index}", path=KILLER)
                await asyncio.gather(*asked)
                if is_contained(response):
                    crashed = True
                    break
                await asyncio.sleep(BACK_AFTER_S)
            assert crashed
            await asyncio.sleep(KNOWN_WITHIN_S)
            for index, path in enumerate(sorted(beside)):
                response = await ask(members[index % 4], f"a{index}", path=path)
                assert response.status == 200, (path, response)

    asyncio.run(check())


def test_resets_without_a_crash_contain_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against blame where connections are reset and the process goes on."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota") as members:
            for member in members:
                member.endpoint.script = reset_all_on_killer
            for index in range(8):
                await ask(members[index % 3], f"k{index}", path=KILLER)
                await asyncio.sleep(0.1)
            assert killers_seen(members) >= 8
            for member in members:
                member.endpoint.script = fleet.answer_ok
            for index, member in enumerate(members):
                response = await ask(member, f"a{index}", path=KILLER)
                assert response.status == 200

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    assert "endpoint has crashed" not in caplog.messages


def test_planned_end_of_an_endpoint_blames_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against blame for calls that an endpoint broke off as it left."""

    async def check() -> None:
        once = fleet.route("rota", idempotent=False, timeout_s=5.0, target_s=4.0)
        async with fleet.running("rota", "rota", routes=(once,)) as members:
            leaving = members[0]
            leaving.endpoint.work_s = 5.0
            clients = []
            while not leaving.endpoint.running:
                clients.append(await fleet.Client.open(leaving))
                fields = {fleet.NAMES.remaining_ms: "4000"}
                clients[-1].send(f"c{len(clients)}", **fields)
                await asyncio.sleep(0.05)
            left = fleet.published(leaving, leaving=True)
            fleet.publish(members, instances=(left, fleet.published(members[1])))
            await fleet.wait_until(lambda: fleet.is_known(members))
            await fleet.wait_until(
                lambda: not members[1].node.facts()[leaving.endpoint.instance]
            )
            assert leaving.endpoint.running
            leaving.endpoint.crash(5.0, leaving.endpoint.instance)
            await asyncio.sleep(0.3)

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    assert "endpoint has crashed" not in caplog.messages


def test_crash_is_logged_with_the_calls_that_ran(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a crash whose cause cannot be told from the log."""

    async def check() -> None:
        async with fleet.running("rota", routes=(fleet.route("rota"),)) as members:
            members[0].endpoint.script = crash_on_killer
            await ask(members[0], "k1", path=KILLER)
            await fleet.wait_until(lambda: "endpoint has crashed" in caplog.messages)

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    (record,) = [r for r in caplog.records if r.message == "endpoint has crashed"]
    assert [call["id"] for call in vars(record)["fields"]["calls"]] == ["k1"]


@pytest.mark.parametrize("service", ["rota", "archive"])
def test_node_that_starts_later_knows_what_is_contained(service: str) -> None:
    """Guards against requests that come again at a machine that was just started."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota", "archive") as members:
            for member in members:
                member.endpoint.script = crash_on_killer
            await contain(members, service)
            await asyncio.sleep(2 * KNOWN_WITHIN_S)
            reached = killers_seen(members)
            late = fleet.make_member(service, fleet.FakeStore())
            members.append(late)
            late.store.publish(members[0].store.state.configuration)
            late.store.state = members[0].store.state
            republish(members)
            await late.start()
            await fleet.wait_until(lambda: len(late.node.facts()) == len(members))
            await asyncio.sleep(KNOWN_WITHIN_S)
            # The node beside the endpoint refuses too; here only its own word counts.
            for member in members[:-1]:
                await member.end()
            assert is_contained(await ask(late, "r1", path=KILLER))
            assert killers_seen(members) == reached

    asyncio.run(check())
