"""Proposals whose callers leave before there is an answer."""

import asyncio
import gc

from sesameford.errors import NoQuorumError
from sesameford.log_messages import Command
from sesameford.log_proposer import ANSWER_SECONDS, Proposer


async def test_a_proposal_that_nobody_waits_for_any_more_fails_quietly():
    """An operator's connection ends while there is no majority of replicas.

    The proposal is given up some seconds later, and the loop complained of an error
    that nobody had looked at: a line without a request, which on-call had to ignore.
    """
    complaints = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: complaints.append(context))
    proposer = Proposer(("b",))
    future = loop.create_future()
    pending = proposer.add(Command("read/1", "tree", b""), future, 1.0)
    waiting = asyncio.ensure_future(asyncio.shield(pending.future))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    proposer.due(1.0 + ANSWER_SECONDS)
    del future, pending
    gc.collect()
    await asyncio.sleep(0)
    assert complaints == []


async def test_who_still_waits_gets_the_error():
    proposer = Proposer(("b",))
    future = asyncio.get_running_loop().create_future()
    proposer.add(Command("read/1", "tree", b""), future, 1.0)
    proposer.due(1.0 + ANSWER_SECONDS)
    try:
        await asyncio.shield(future)
    except NoQuorumError:
        return
    raise AssertionError("the proposal did not fail")
