"""The rare orders of events around a claim, each by itself."""

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
    """A log that commits at once and whose replies can be held or lost."""

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


class Pair:
    """Two routers that ask each other, before one log."""

    def __init__(self):
        self.log = SlowLog()
        self.routers = {
            name: KeyedRequests(
                name, 1, KeyedPorts(self.log.propose, self.ask, self.pause, lambda: 0.0)
            )
            for name in "xy"
        }
        self.ran = []

    async def ask(self, owner, claim_index):
        return self.routers[owner.router_id].report_run_state(owner, claim_index)

    async def pause(self, seconds):
        await asyncio.sleep(0)

    def send(self, router, request_id, outcome=Outcome.RAN, answer=ANSWER):
        async def run():
            self.ran.append(request_id)
            return RunEnd(outcome, answer if outcome is Outcome.RAN else None)

        request = KeyedRequest(request_id, "c", "k", b"d", False, 30.0)
        return asyncio.create_task(self.routers[router].serve(request, run))


async def turns(count=30):
    for _ in range(count):
        await asyncio.sleep(0)


async def test_a_claim_whose_reply_is_under_way_counts_as_running():
    """A router's claim is agreed, but the reply is still on its way when a resend
    asks that router. Were it to say that it never started, both would run."""
    pair = Pair()
    pair.log.hold = asyncio.Event()
    first = pair.send("x", "r1")
    await turns()
    slow, pair.log.hold = pair.log.hold, None
    second = pair.send("y", "r2")
    await turns()
    assert pair.ran == []
    slow.set()
    assert await first is None
    assert await second == ANSWER
    assert pair.ran == ["r1"]


async def test_a_claim_given_up_is_released_and_the_resend_runs():
    """A claim is agreed after its router gave up and told its caller "not run". If
    it stayed, every resend would hear that the key may have run, for an hour."""
    pair = Pair()
    pair.log.lose = True
    with pytest.raises(NotRunError):
        await pair.send("x", "r1")
    pair.log.lose = False
    await turns()
    assert len(pair.log.machine) == 0
    assert await pair.send("y", "r2") is None
    assert pair.ran == ["r2"]
    await turns()
    assert pair.routers["x"].unsettled == 0


async def test_a_lost_run_is_told_to_every_later_resend():
    """A mailing's answer was lost on the way. Whether it ran nobody knows, so no
    resend may run it again or be told that it was not run."""
    pair = Pair()
    await pair.send("x", "r1", Outcome.UNKNOWN)
    await turns()
    for router in "xy":
        with pytest.raises(UnknownOutcomeError) as told:
            await pair.send(router, "r2")
        assert told.value.reason == "key-may-have-run"
    assert pair.ran == ["r1"]


async def test_only_one_of_two_routers_takes_a_claim_over():
    """Two resends through two routers both hear that the owner never started. Only
    the first may run; the other has seen a claim that is no longer there."""
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
    pair = Pair()
    await pair.send("x", "r1", Outcome.NOT_RUN)
    await turns()
    assert await pair.send("y", "r2") is None
    assert pair.ran == ["r1", "r2"]


async def test_a_large_answer_stays_at_its_router_and_is_fetched_from_there():
    """A caller comes back for a long draft through another router. Carried by the
    log it would be written and synced on every replica."""
    pair = Pair()
    large = ClaimAnswer(200, (), b"x" * 100_000)
    await pair.send("x", "r1", answer=large)
    await turns()
    assert len(pair.log.machine.snapshot()) < 1_000
    assert await pair.send("y", "r2") == large
    assert pair.ran == ["r1"]
