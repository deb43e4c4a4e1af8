"""Crashes that are noticed late: few targets are lost before they are proven."""

import asyncio
from time import monotonic

import pytest
from aiohttp import web

from tests.faults_fixture import GOOD_KEY, open_world

POISON_PATH = "/services/roster/x?mark=poison"


class CrashingTargets:
    """Targets that end when they run the poison request."""

    def __init__(self, world, crash):
        self.world, self.crash = world, crash
        self.crashed_ports = []

    async def add(self, targets):
        for number in range(targets):
            await self.world.add_handler(f"s{number}", self._run)

    async def _run(self, http):
        if http.query.get("mark") == "poison":
            self.crashed_ports.append(http.url.port)
            target = next(t for t in self.world.targets if t.port == http.url.port)
            return await self.crash(target, http)
        return web.Response(text=http.query.get("mark"))


def crash_behind(seconds):
    """Return a crash behind a forwarder that closes connections after some time."""

    async def crash(target, http):
        target.proxy.faults.refuse_after_seconds = seconds
        target.proxy.faults.refuse = True
        target.proxy.reset_all()
        return web.Response()

    return crash


async def crash_in_an_answer_without_length(target, http):
    """Close the connection in the middle of an answer that has no length."""
    http.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
    http.transport.close()
    target.proxy.faults.refuse = True
    return web.Response()


async def resend(router):
    answer = await router.client.get(POISON_PATH, headers=GOOD_KEY)
    return answer.headers["Sesameford-Outcome"]


@pytest.mark.parametrize("seconds", [0.15, 0.3, 0.7])
async def test_a_slow_forwarder_hides_no_crash(seconds):
    """A forwarder tries its dead target for longer than a probe waits.

    The crash counted as none, and the request was sent to four targets in turn, and
    to others with each resend.
    """
    async with open_world(routers=2) as world:
        targets = CrashingTargets(world, crash_behind(seconds))
        await targets.add(6)
        outcomes = [await resend(world.routers[n % 2]) for n in range(8)]
        assert len(targets.crashed_ports) == 2
        assert outcomes == ["unknown"] + ["not-run"] * 7


async def test_a_crash_in_an_answer_without_length_is_noticed():
    """Nothing marks the end of an answer, and its target ends in the middle of it.

    No probe followed, and the request was sent to four targets in turn.
    """
    async with open_world() as world:
        targets = CrashingTargets(world, crash_in_an_answer_without_length)
        await targets.add(6)
        outcomes = [await resend(world.routers[0]) for _ in range(4)]
        assert len(targets.crashed_ports) == 2
        assert outcomes == ["unknown"] + ["not-run"] * 3


async def test_connections_that_break_at_live_targets_hold_a_request_for_a_moment():
    """The network cuts the first two connections of a request, and no target ended.

    The request waits for the probes and is then served.
    """
    async with open_world() as world:
        await world.add_handler("s0", answer_after_two_cuts(world))
        await world.add_handler("s1", answer_after_two_cuts(world))
        answer = await world.routers[0].client.get(POISON_PATH, headers=GOOD_KEY)
        assert answer.headers["Sesameford-Outcome"] == "ran"
        suspects = world.routers[0].outcomes.suspects
        assert suspects.count_suspects() == 0


def answer_after_two_cuts(world):
    """Return a handler that aborts the first two connections at any target."""

    async def run(http):
        world.deaths["cuts"] += 1
        if world.deaths["cuts"] <= 2:
            http.transport.abort()
        return web.Response(text="done")

    return run


async def test_a_request_that_waits_for_probes_keeps_its_deadline():
    """Two crashes are unconfirmed when the deadline of the request passes."""
    async with open_world() as world:
        targets = CrashingTargets(world, crash_behind(0.9))
        await targets.add(6)
        headers = {**GOOD_KEY, "Sesameford-Deadline-Seconds": "0.6"}
        async with asyncio.timeout(0.9):
            answer = await world.routers[0].client.get(POISON_PATH, headers=headers)
        assert answer.headers["Sesameford-Outcome"] == "unknown"
        assert len(targets.crashed_ports) == 2


async def test_a_popular_request_whose_connections_break_is_served():
    """A network breaks the first exchange of every third copy, and no target ends.

    Each broken exchange is an unconfirmed crash for a second. Copies that waited
    until there was none were answered late or never.
    """
    async with open_world() as world:
        broken = set()

        async def run(http):
            copy = http.headers["X-Copy"]
            if int(copy) % 3 == 0 and copy not in broken:
                broken.add(copy)
                http.transport.abort()
            return web.Response(text="done")

        for number in range(2):
            await world.add_handler(f"s{number}", run)

        async def send(number):
            headers = {**GOOD_KEY, "X-Copy": str(number)}
            started_at_seconds = monotonic()
            answer = await world.routers[0].client.get(POISON_PATH, headers=headers)
            took_seconds = monotonic() - started_at_seconds
            return answer.headers["Sesameford-Outcome"], took_seconds

        copies = []
        for number in range(60):
            copies.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.03)
        results = [await copy for copy in copies]
        assert {outcome for outcome, _ in results} == {"ran"}
        assert max(took_seconds for _, took_seconds in results) < 1.0
