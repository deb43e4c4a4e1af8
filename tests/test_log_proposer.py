"""Proposals whose callers leave before they are answered."""

import asyncio
import gc

from sesameford.errors import NoQuorumError
from sesameford.log_messages import Command
from sesameford.log_proposer import ANSWER_TIMEOUT_SECONDS, Proposer


async def test_a_proposal_without_a_waiting_caller_fails_silently():
    """An operator's connection ends while there is no majority of replicas.

    The proposal times out some seconds later, and the event loop logged an exception
    that was never retrieved: a line without a request, which on-call had to ignore.
    """
    loop_errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))
    proposer = Proposer(("b",))
    future = loop.create_future()
    pending = proposer.add(Command("read/1", "tree", b""), future, 1.0)
    waiting = asyncio.ensure_future(asyncio.shield(pending.future))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    proposer.collect_due(1.0 + ANSWER_TIMEOUT_SECONDS)
    del future, pending
    gc.collect()
    await asyncio.sleep(0)
    assert loop_errors == []


async def test_a_caller_that_still_waits_gets_the_error():
    proposer = Proposer(("b",))
    future = asyncio.get_running_loop().create_future()
    proposer.add(Command("read/1", "tree", b""), future, 1.0)
    proposer.collect_due(1.0 + ANSWER_TIMEOUT_SECONDS)
    try:
        await asyncio.shield(future)
    except NoQuorumError:
        return
    raise AssertionError("the proposal did not fail")
