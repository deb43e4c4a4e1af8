"""Rare orders of events around a claim, one per test."""

import asyncio

import pytest

from sesameford.claims import (
    Claim,
    ClaimAnswer,
    ClaimOwner,
    ClaimsMachine,
    ClaimVerdict,
    TakeOver,
    decode_claim_reply,
    encode_claim_command,
)
from sesameford.errors import NoQuorumError, NotRunError, UnknownOutcomeError
from sesameford.keyed import KeyedPorts, KeyedRequest, KeyedRequests, RunEnd
from sesameford.tables import Outcome

ANSWER = ClaimAnswer(200, (), b"done")


class SlowLog:
    """A log that commits at once and whose replies can be delayed or lost."""

    def __init__(self):
        self.machine = ClaimsMachine()
        self.results = {}
        self.hold = None
        self.lose = False

    def commit(self, proposal_id, command):
        if proposal_id not in self.results:
            index = len(self.results) + 1
            self.results[proposal_id] = self.machine.apply(index, command)
        return self.results[proposal_id]

    async def propose(self, proposal_id, machine, command):
        result = self.commit(proposal_id, command)
        if self.hold is not None:
            await self.hold.wait()
        if self.lose:
            raise NoQuorumError("the reply was lost")
        return result


class RouterPair:
    """Two routers that query each other and share one log."""

    def __init__(self):
        self.log = SlowLog()
        self.routers = {
            name: KeyedRequests(
                name,
                1,
                KeyedPorts(self.log.propose, self.query_owner, self.sleep, lambda: 0.0),
            )
            for name in "xy"
        }
        self.ran = []

    async def query_owner(self, owner, claim_index):
        return self.routers[owner.router_id].report_run_state(owner, claim_index)

    async def sleep(self, seconds):
        await asyncio.sleep(0)

    def send(self, router, request_id, outcome=Outcome.RAN, answer=ANSWER):
        async def run():
            self.ran.append(request_id)
            return RunEnd(outcome, answer if outcome is Outcome.RAN else None)

        request = KeyedRequest(request_id, "c", "k", b"d", False, 30.0)
        return asyncio.create_task(self.routers[router].serve(request, run))


async def run_loop_turns(count=30):
    for _ in range(count):
        await asyncio.sleep(0)


async def test_a_claim_with_a_pending_reply_is_reported_as_running():
    """A claim is committed, but its router has not received the reply yet when a
    resend queries it. If it answered that it never started, both would run."""
    pair = RouterPair()
    pair.log.hold = asyncio.Event()
    first = pair.send("x", "r1")
    await run_loop_turns()
    slow, pair.log.hold = pair.log.hold, None
    second = pair.send("y", "r2")
    await run_loop_turns()
    assert pair.ran == []
    slow.set()
    assert await first is None
    assert await second == ANSWER
    assert pair.ran == ["r1"]


async def test_an_abandoned_claim_is_released_and_the_resend_runs():
    """A claim is committed after its router gave up and answered "not run". If the
    claim stayed, every resend would be answered "may have run" until it expires."""
    pair = RouterPair()
    pair.log.lose = True
    with pytest.raises(NotRunError):
        await pair.send("x", "r1")
    pair.log.lose = False
    await run_loop_turns()
    assert len(pair.log.machine) == 0
    assert await pair.send("y", "r2") is None
    assert pair.ran == ["r2"]
    await run_loop_turns()
    assert pair.routers["x"].unsettled == 0


async def test_every_resend_of_a_lost_run_gets_an_unknown_outcome():
    """The answer of a run was lost, so it is unknown whether it ran. No resend may
    run it again or be answered that it was not run."""
    pair = RouterPair()
    await pair.send("x", "r1", Outcome.UNKNOWN)
    await run_loop_turns()
    for router in "xy":
        with pytest.raises(UnknownOutcomeError) as caught:
            await pair.send(router, "r2")
        assert caught.value.reason == "key-may-have-run"
    assert pair.ran == ["r1"]


async def test_only_one_of_two_routers_takes_a_claim_over():
    """Two resends through two routers are both answered that the owner never started.
    Only the first may run; the other holds an outdated claim index."""
    log = SlowLog()
    owner = ClaimOwner("z", 1, "r0")
    log.commit("p", encode_claim_command(Claim("c", "k", b"d", owner, 0.0)))
    verdicts = []
    for name in "xy":
        command = TakeOver("c", "k", 1, ClaimOwner(name, 1, name), 0.0)
        reply = decode_claim_reply(log.commit(name, encode_claim_command(command)))
        verdicts.append(reply.verdict)
    assert verdicts == [ClaimVerdict.RUN, ClaimVerdict.JOIN]


async def test_a_released_run_lets_a_resend_run():
    pair = RouterPair()
    await pair.send("x", "r1", Outcome.NOT_RUN)
    await run_loop_turns()
    assert await pair.send("y", "r2") is None
    assert pair.ran == ["r1", "r2"]


async def test_a_large_answer_stays_at_its_router_and_is_fetched_from_there():
    """A caller fetches a large answer through another router. In the log it would be
    written and synced on every replica."""
    pair = RouterPair()
    large = ClaimAnswer(200, (), b"x" * 100_000)
    await pair.send("x", "r1", answer=large)
    await run_loop_turns()
    assert len(pair.log.machine.snapshot()) < 1_000
    assert await pair.send("y", "r2") == large
    assert pair.ran == ["r1"]
