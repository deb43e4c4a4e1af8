"""Asks the owners of claims what became of their runs, and answers such questions."""

import asyncio
from collections.abc import Callable
from itertools import count

from sesameford.claims import ClaimAnswer, ClaimOwner
from sesameford.keyed import KeyedRequests, OwnerReply, RunState
from sesameford.messages import Outgoing, StoredAnswer, StoredAnswerQuery

ANSWER_WITHIN_SECONDS = 1.0
MAX_QUESTIONS = 10_000


class OwnerQueries:
    """The questions of one router that wait for their answer.

    Args:
        router_id: This instance.
        send: Sends to other instances.
    """

    def __init__(self, router_id: str, send: Callable[[Outgoing], None]) -> None:
        self._router_id = router_id
        self._send = send
        self._numbers = count(1)
        self._waiting: dict[str, asyncio.Future[OwnerReply]] = {}

    async def ask(self, owner: ClaimOwner, claim_index: int) -> OwnerReply | None:
        """Return the owner's word, or None where it does not come in time."""
        if len(self._waiting) >= MAX_QUESTIONS:
            await asyncio.sleep(ANSWER_WITHIN_SECONDS)
            return None
        query_id = f"{self._router_id}/{next(self._numbers)}"
        answer: asyncio.Future[OwnerReply] = asyncio.get_running_loop().create_future()
        self._waiting[query_id] = answer
        question = StoredAnswerQuery(
            query_id, claim_index, owner.incarnation, owner.request_id
        )
        self._send(Outgoing(owner.router_id, question, urgent=True))
        try:
            async with asyncio.timeout(ANSWER_WITHIN_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._waiting[query_id]

    def received(self, message: StoredAnswer) -> None:
        """Take an owner's word; one that comes late or twice is dropped."""
        answer = self._waiting.get(message.query_id)
        if answer is None or answer.done():
            return
        try:
            standing = RunState(message.run_state)
        except ValueError:
            return
        kept = None
        if standing is RunState.KEPT:
            kept = ClaimAnswer(message.status, message.headers, message.body)
        answer.set_result(OwnerReply(standing, kept))

    def asked(
        self, sender_id: str, message: StoredAnswerQuery, keyed: KeyedRequests
    ) -> None:
        """Answer another router's question."""
        owner = ClaimOwner(self._router_id, message.incarnation, message.request_id)
        word = keyed.report_run_state(owner, message.claim_index)
        kept = word.answer or ClaimAnswer(0, (), b"")
        answer = StoredAnswer(
            message.query_id,
            word.standing.value,
            kept.status,
            kept.headers,
            kept.body,
        )
        self._send(Outgoing(sender_id, answer, urgent=True))
