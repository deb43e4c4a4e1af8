"""Requests with an idempotency key: each key runs at most once, fleet-wide.

This module is the part of one router. It claims a key in the replicated log before
it sends anything, tracks the runs that it started, and answers queries of other
routers about its claims. Its ports to the log and to other routers are closures.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from sesameford.claims import (
    Claim,
    ClaimAnswer,
    ClaimCommand,
    ClaimOwner,
    ClaimRelease,
    ClaimReply,
    ClaimVerdict,
    Completion,
    TakeOver,
    decode_claim_reply,
    drop_large_answer,
    encode_claim_command,
)
from sesameford.errors import LogError, NoQuorumError, NotRunError, UnknownOutcomeError
from sesameford.state_machine import Propose
from sesameford.tables import Outcome

logger = logging.getLogger(__name__)

MACHINE = "claims"
MAX_TOTAL_ANSWER_BYTES = 8_000_000
MAX_UNSETTLED_CLAIMS = 10_000
QUERY_INTERVAL_SECONDS = 0.25
SETTLE_RETRY_SECONDS = 1.0
MAX_UNANSWERED_QUERIES = 8


class RunState(StrEnum):
    """The state of a run, as the owner of its claim reports it."""

    RUNNING = "running"
    STORED = "kept"
    NEVER_STARTED = "never-started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """An owner's reply to a query about a claim."""

    run_state: RunState
    answer: ClaimAnswer | None = None


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended; ``answer`` is set if it was complete and small enough."""

    outcome: Outcome
    answer: ClaimAnswer | None = None


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """The parts of a keyed request that this module needs."""

    request_id: str
    customer_id: str
    idempotency_key: str
    body_digest: bytes
    repeatable: bool
    deadline_at_seconds: float


@dataclass(frozen=True, slots=True)
class KeyedPorts:
    """The functions through which this module reaches the log and other routers.

    ``query_owner`` returns None if the owner did not answer in time.
    ``now_seconds`` is wall-clock time, because the log compares it between routers.
    """

    propose: Propose
    query_owner: Callable[[ClaimOwner, int], Awaitable[OwnerReply | None]]
    sleep: Callable[[float], Awaitable[None]]
    now_seconds: Callable[[], float]


Run = Callable[[], Awaitable[RunEnd]]


class KeyedRequests:
    """The keyed requests of this router process.

    Args:
        router_id: The id of this instance.
        incarnation: The incarnation of this process, which shows restarts.
        ports: The functions to the log and to other routers.
        max_total_answer_bytes: Bound on all answers stored in memory together.
    """

    def __init__(
        self,
        router_id: str,
        incarnation: int,
        ports: KeyedPorts,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._router_id = router_id
        self._incarnation = incarnation
        self._ports = ports
        self._max_total_answer_bytes = max_total_answer_bytes
        self._stored_bytes = 0
        # Ids of requests whose claim is proposed and not yet answered.
        self._claiming: set[str] = set()
        # Runs that are started and not yet settled in the log; removing one early would
        # make ``report_run_state`` answer that it was never started.
        self._started: dict[int, RunEnd | None] = {}
        self._stored_answers: OrderedDict[int, ClaimAnswer] = OrderedDict()
        self._settling: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Return how many claims have no end in the log yet."""
        return len(self._started) + len(self._settling)

    def now_seconds(self) -> float:
        """Return the wall-clock time in which deadlines of keyed requests are given."""
        return self._ports.now_seconds()

    def report_run_state(self, owner: ClaimOwner, claim_index: int) -> OwnerReply:
        """Return the state of a run whose claim names this router as its owner."""
        if (owner.router_id, owner.incarnation) != (self._router_id, self._incarnation):
            return OwnerReply(RunState.LOST)
        if claim_index in self._stored_answers:
            return OwnerReply(RunState.STORED, self._stored_answers[claim_index])
        if claim_index in self._started:
            ended = self._started[claim_index] is not None
            return OwnerReply(RunState.LOST if ended else RunState.RUNNING)
        if owner.request_id in self._claiming:
            return OwnerReply(RunState.RUNNING)
        # No run starts without an entry, and an entry is removed only once the log
        # has the end of its run. If the run ended since then, the log refuses the
        # take-over.
        return OwnerReply(RunState.NEVER_STARTED)

    async def serve(self, request: KeyedRequest, run: Run) -> ClaimAnswer | None:
        """Run a keyed request, or find the outcome of an earlier run of its key.

        Args:
            request: The keyed request.
            run: Runs the request and answers the caller. Called at most once.

        Returns:
            The stored answer of another run, or None if ``run`` was called.

        Raises:
            NotRunError: The request was not and will not be run.
            UnknownOutcomeError: The key ran or may have run.
        """
        if len(self._started) + len(self._settling) >= MAX_UNSETTLED_CLAIMS:
            raise NotRunError("claims-unsettled", "too many keyed requests are open")
        owner = ClaimOwner(self._router_id, self._incarnation, request.request_id)
        claim = Claim(
            request.customer_id,
            request.idempotency_key,
            request.body_digest,
            owner,
            self._ports.now_seconds(),
        )
        reply = await self._propose_claim(request, claim, "claim")
        takeovers = 0
        while True:
            if reply.verdict is ClaimVerdict.RUN:
                await self._run(request, reply.claim_index, run)
                return None
            if reply.verdict is ClaimVerdict.JOIN:
                owner_reply = await self._wait_for_owner(request, reply)
                if owner_reply.run_state is RunState.STORED:
                    return owner_reply.answer
                takeovers += 1
                command = TakeOver(
                    request.customer_id,
                    request.idempotency_key,
                    reply.claim_index,
                    owner,
                    self._ports.now_seconds(),
                )
                reply = await self._propose_claim(
                    request, command, f"take-over-{takeovers}"
                )
                if reply.verdict is ClaimVerdict.SUPERSEDED:
                    # The claim was released in the meantime: the key is free again.
                    reply = await self._propose_claim(
                        request, claim, f"claim-{takeovers}"
                    )
                continue
            return await self._resolve_ended_claim(reply)

    async def close(self) -> None:
        """Cancel the proposals that still settle claims in the log."""
        for task in list(self._settling):
            task.cancel()
        await asyncio.gather(*self._settling, return_exceptions=True)

    async def _propose_claim(
        self, request: KeyedRequest, command: ClaimCommand, step: str
    ) -> ClaimReply:
        """Commit a claim in the log; without a quorum the request is not run."""
        proposal_id = (
            f"{self._router_id}/{self._incarnation}/{request.request_id}/{step}"
        )
        encoded = encode_claim_command(command)
        self._claiming.add(request.request_id)
        try:
            left_seconds = request.deadline_at_seconds - self._ports.now_seconds()
            async with asyncio.timeout(max(left_seconds, 0.0)):
                reply = decode_claim_reply(
                    await self._ports.propose(proposal_id, MACHINE, encoded)
                )
        except (LogError, TimeoutError) as error:
            self._claiming.discard(request.request_id)
            # The claim may still be committed later, for a request that is not run.
            # All resends would then be answered "may have run", so it is released.
            self._start_settling(
                self._release_abandoned_claim(request, proposal_id, encoded)
            )
            raise NotRunError(
                "no-quorum", "no majority of replicas answers; nothing was sent"
            ) from error
        except asyncio.CancelledError:
            self._claiming.discard(request.request_id)
            self._start_settling(
                self._release_abandoned_claim(request, proposal_id, encoded)
            )
            raise
        if reply.verdict is ClaimVerdict.RUN:
            # Added before the request leaves ``_claiming``, without an await between,
            # so that a query always finds the request in one of the two.
            self._started[reply.claim_index] = None
        self._claiming.discard(request.request_id)
        return reply

    async def _run(self, request: KeyedRequest, claim_index: int, run: Run) -> None:
        end = RunEnd(Outcome.UNKNOWN)
        try:
            end = await run()
        finally:
            self._record_end(request, claim_index, end)

    def _record_end(self, request: KeyedRequest, claim_index: int, end: RunEnd) -> None:
        """Store the answer and start to propose the end of the run."""
        at_seconds = self._ports.now_seconds()
        key = (request.customer_id, request.idempotency_key, claim_index)
        command: ClaimCommand
        if end.outcome is Outcome.NOT_RUN:
            command = ClaimRelease(*key, at_seconds=at_seconds)
            del self._started[claim_index]
        else:
            certain = end.outcome is Outcome.RAN
            # A large answer stays at this router: the log copies to every replica.
            command = Completion(
                *key, drop_large_answer(end.answer), at_seconds, certain
            )
            self._started[claim_index] = end
            self._store_answer(claim_index, end.answer)
        proposal_id = f"{self._router_id}/{self._incarnation}/{claim_index}/end"
        self._start_settling(self._propose_end(proposal_id, claim_index, command))

    async def _propose_end(
        self, proposal_id: str, claim_index: int, command: ClaimCommand
    ) -> None:
        """Propose the end of a run until the log has committed or refused it."""
        await self._propose_until_answered(proposal_id, encode_claim_command(command))
        self._started.pop(claim_index, None)

    async def _release_abandoned_claim(
        self, request: KeyedRequest, proposal_id: str, encoded: bytes
    ) -> None:
        """Propose an abandoned claim to its end, and release it if it was granted."""
        reply = await self._propose_until_answered(proposal_id, encoded)
        if reply.verdict is ClaimVerdict.RUN:
            release = ClaimRelease(
                request.customer_id,
                request.idempotency_key,
                reply.claim_index,
                self._ports.now_seconds(),
            )
            await self._propose_until_answered(
                f"{proposal_id}/release", encode_claim_command(release)
            )

    async def _propose_until_answered(
        self, proposal_id: str, encoded: bytes
    ) -> ClaimReply:
        while True:
            try:
                return decode_claim_reply(
                    await self._ports.propose(proposal_id, MACHINE, encoded)
                )
            except NoQuorumError:
                await self._ports.sleep(SETTLE_RETRY_SECONDS)
            except LogError:
                # The log will never accept the command. The claim stays as it is until
                # it expires, and resends are answered that the key may have run.
                logger.exception("the log refuses the end of a keyed request")
                return ClaimReply(ClaimVerdict.MALFORMED)

    def _start_settling(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _wait_for_owner(
        self, request: KeyedRequest, reply: ClaimReply
    ) -> OwnerReply:
        """Wait while the owner of the claim runs the same key.

        Returns:
            A reply with the stored answer, or one after which the claim may be taken
            over.
        """
        assert reply.owner is not None
        unanswered = 0
        while self._ports.now_seconds() < request.deadline_at_seconds:
            owner_reply = await self._query_owner(reply.owner, reply.claim_index)
            if owner_reply is None:
                unanswered += 1
                if unanswered < MAX_UNANSWERED_QUERIES:
                    continue
                owner_reply = OwnerReply(RunState.LOST)
            if owner_reply.run_state is RunState.RUNNING:
                unanswered = 0
                await self._ports.sleep(QUERY_INTERVAL_SECONDS)
                continue
            if owner_reply.run_state is RunState.LOST and not request.repeatable:
                raise UnknownOutcomeError(
                    "key-may-have-run",
                    "the router that ran this key is lost; it ran or may have run",
                    status=409,
                )
            return owner_reply
        raise UnknownOutcomeError(
            "key-still-running", "another request with this key still runs", status=409
        )

    async def _query_owner(
        self, owner: ClaimOwner, claim_index: int
    ) -> OwnerReply | None:
        if owner.router_id == self._router_id:
            return self.report_run_state(owner, claim_index)
        return await self._ports.query_owner(owner, claim_index)

    async def _resolve_ended_claim(self, reply: ClaimReply) -> ClaimAnswer:
        """Return the stored answer of an ended claim, or raise its outcome."""
        if reply.verdict is ClaimVerdict.STORED and reply.answer is not None:
            return reply.answer
        if reply.verdict is ClaimVerdict.RAN and reply.owner is not None:
            owner_reply = await self._query_owner(reply.owner, reply.claim_index)
            if owner_reply is not None and owner_reply.answer is not None:
                return owner_reply.answer
            raise UnknownOutcomeError(
                "key-ran", "this key ran to its end; its answer is kept no more", 409
            )
        if reply.verdict is ClaimVerdict.MAY_HAVE_RUN:
            raise UnknownOutcomeError(
                "key-may-have-run", "an earlier request with this key may have run", 409
            )
        raise _make_refusal(reply.verdict)

    def _store_answer(self, claim_index: int, answer: ClaimAnswer | None) -> None:
        if answer is None or len(answer.body) > self._max_total_answer_bytes:
            return
        self._stored_answers[claim_index] = answer
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > self._max_total_answer_bytes:
            _, oldest = self._stored_answers.popitem(last=False)
            self._stored_bytes -= len(oldest.body)


def _make_refusal(verdict: ClaimVerdict) -> NotRunError:
    """Return the error for a key on which the log refused a claim."""
    if verdict is ClaimVerdict.OTHER_BODY:
        return NotRunError(
            "key-other-body", "this idempotency key came with another body", 422
        )
    if verdict is ClaimVerdict.FULL:
        return NotRunError("claims-full", "no room for another idempotency key", 503)
    return NotRunError("key-invalid", "this idempotency key can't be used", 400)
