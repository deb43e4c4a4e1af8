"""Queries between routers about the run state of keyed requests."""

import asyncio
from collections.abc import Callable
from itertools import count

from sesameford.claims import ClaimAnswer, ClaimOwner
from sesameford.keyed import KeyedRequests, OwnerReply, RunState
from sesameford.messages import Outgoing, StoredAnswer, StoredAnswerQuery

QUERY_TIMEOUT_SECONDS = 1.0
MAX_OPEN_QUERIES = 10_000


class OwnerQueries:
    """The open queries of one router to the owners of claims.

    Args:
        router_id: The id of this instance.
        send: Sends a message to another instance.
    """

    def __init__(self, router_id: str, send: Callable[[Outgoing], None]) -> None:
        self._router_id = router_id
        self._send = send
        self._numbers = count(1)
        self._open_queries: dict[str, asyncio.Future[OwnerReply]] = {}

    async def query_owner(
        self, owner: ClaimOwner, claim_index: int
    ) -> OwnerReply | None:
        """Query the owner of a claim; return its reply, or None after a timeout."""
        if len(self._open_queries) >= MAX_OPEN_QUERIES:
            await asyncio.sleep(QUERY_TIMEOUT_SECONDS)
            return None
        query_id = f"{self._router_id}/{next(self._numbers)}"
        answer: asyncio.Future[OwnerReply] = asyncio.get_running_loop().create_future()
        self._open_queries[query_id] = answer
        query = StoredAnswerQuery(
            query_id, claim_index, owner.incarnation, owner.request_id
        )
        self._send(Outgoing(owner.router_id, query, urgent=True))
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._open_queries[query_id]

    def handle_answer(self, message: StoredAnswer) -> None:
        """Complete the query of an answer; drop late and repeated answers."""
        answer = self._open_queries.get(message.query_id)
        if answer is None or answer.done():
            return
        try:
            run_state = RunState(message.run_state)
        except ValueError:
            return
        stored = None
        if run_state is RunState.STORED:
            stored = ClaimAnswer(message.status, message.headers, message.body)
        answer.set_result(OwnerReply(run_state, stored))

    def handle_query(
        self, sender_id: str, message: StoredAnswerQuery, keyed: KeyedRequests
    ) -> None:
        """Answer the query of another router."""
        owner = ClaimOwner(self._router_id, message.incarnation, message.request_id)
        reply = keyed.report_run_state(owner, message.claim_index)
        stored = reply.answer or ClaimAnswer(0, (), b"")
        answer = StoredAnswer(
            message.query_id,
            reply.run_state.value,
            stored.status,
            stored.headers,
            stored.body,
        )
        self._send(Outgoing(sender_id, answer, urgent=True))
