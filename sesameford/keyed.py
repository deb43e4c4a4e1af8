"""Requests with an idempotency key: each key runs at most once, fleet-wide.

This is one router's part. It claims a key in the replicated log before anything
is sent, remembers what it started, and answers other routers that ask after a
claim of its own. The ways out to the log and to other routers are closures.
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
    encode_claim_command,
    small_answer,
)
from sesameford.errors import LogError, NoQuorumError, NotRunError, UnknownOutcomeError
from sesameford.state_machine import Propose
from sesameford.tables import Outcome

logger = logging.getLogger(__name__)

MACHINE = "claims"
MAX_KEPT_BYTES = 8_000_000
MAX_UNSETTLED = 10_000
ASK_AGAIN_SECONDS = 0.25
SETTLE_AGAIN_SECONDS = 1.0
MAX_UNANSWERED_QUERIES = 8


class RunState(StrEnum):
    """What an owner says of a claim that it holds or held."""

    RUNNING = "running"
    KEPT = "kept"
    NEVER_STARTED = "never-started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """An owner's answer to a router that asks after a claim."""

    standing: RunState
    answer: ClaimAnswer | None = None


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended; ``answer`` is there where it was whole and small enough."""

    outcome: Outcome
    answer: ClaimAnswer | None = None


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A keyed request as this module sees it."""

    request_id: str
    customer_id: str
    idempotency_key: str
    body_digest: bytes
    repeatable: bool
    deadline_at_seconds: float


@dataclass(frozen=True, slots=True)
class KeyedPorts:
    """The ways out of this module.

    ``ask`` returns None where the owner did not answer in time.
    ``now_seconds`` is wall-clock time, as the log compares it between routers.
    """

    propose: Propose
    ask: Callable[[ClaimOwner, int], Awaitable[OwnerReply | None]]
    sleep: Callable[[float], Awaitable[None]]
    now_seconds: Callable[[], float]


Run = Callable[[], Awaitable[RunEnd]]


class KeyedRequests:
    """This router process's keyed requests.

    Args:
        router_id: This instance.
        incarnation: Of this process, so that a restart is recognised.
        ports: The ways out.
        max_kept_bytes: Bound on the answers kept in memory.
    """

    def __init__(
        self,
        router_id: str,
        incarnation: int,
        ports: KeyedPorts,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self._router_id = router_id
        self._incarnation = incarnation
        self._ports = ports
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        # Request ids whose claim is proposed and not yet answered.
        self._claiming: set[str] = set()
        # Started and not yet settled in the log: these must not be forgotten.
        self._started: dict[int, RunEnd | None] = {}
        self._kept: OrderedDict[int, ClaimAnswer] = OrderedDict()
        self._settling: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Return how many claims the log has not yet heard the end of."""
        return len(self._started) + len(self._settling)

    def now_seconds(self) -> float:
        """Return the time that deadlines of keyed requests count in."""
        return self._ports.now_seconds()

    def report_run_state(self, owner: ClaimOwner, claim_index: int) -> OwnerReply:
        """Answer a router that asks after a claim under this router's name."""
        if (owner.router_id, owner.incarnation) != (self._router_id, self._incarnation):
            return OwnerReply(RunState.LOST)
        if claim_index in self._kept:
            return OwnerReply(RunState.KEPT, self._kept[claim_index])
        if claim_index in self._started:
            ended = self._started[claim_index] is not None
            return OwnerReply(RunState.LOST if ended else RunState.RUNNING)
        if owner.request_id in self._claiming:
            return OwnerReply(RunState.RUNNING)
        # Nothing is started without an entry, and an entry goes only once the log
        # has its end. Where it ended meanwhile, the log refuses the take-over.
        return OwnerReply(RunState.NEVER_STARTED)

    async def serve(self, request: KeyedRequest, run: Run) -> ClaimAnswer | None:
        """Run a keyed request, or find out what became of its key.

        Args:
            request: What the caller sent.
            run: Runs it and answers the caller itself. Called at most once.

        Returns:
            The kept answer of another run, or None where ``run`` was called.

        Raises:
            NotRunError: Nothing was or will be run for this request.
            UnknownOutcomeError: The key ran or may have run.
        """
        if len(self._started) + len(self._settling) >= MAX_UNSETTLED:
            raise NotRunError("claims-unsettled", "too many keyed requests are open")
        owner = ClaimOwner(self._router_id, self._incarnation, request.request_id)
        claim = Claim(
            request.customer_id,
            request.idempotency_key,
            request.body_digest,
            owner,
            self._ports.now_seconds(),
        )
        reply = await self._claim(request, claim, "claim")
        takeovers = 0
        while True:
            if reply.verdict is ClaimVerdict.RUN:
                await self._run(request, reply.claim_index, run)
                return None
            if reply.verdict is ClaimVerdict.JOIN:
                word = await self._join(request, reply)
                if word.standing is RunState.KEPT:
                    return word.answer
                takeovers += 1
                command = TakeOver(
                    request.customer_id,
                    request.idempotency_key,
                    reply.claim_index,
                    owner,
                    self._ports.now_seconds(),
                )
                reply = await self._claim(request, command, f"take-over-{takeovers}")
                if reply.verdict is ClaimVerdict.SUPERSEDED:
                    # Released meanwhile: the key is free again.
                    reply = await self._claim(request, claim, f"claim-{takeovers}")
                continue
            return await self._answer_of_ended(reply)

    async def close(self) -> None:
        """Give up what the log was still to hear."""
        for task in list(self._settling):
            task.cancel()
        await asyncio.gather(*self._settling, return_exceptions=True)

    async def _claim(
        self, request: KeyedRequest, command: ClaimCommand, step: str
    ) -> ClaimReply:
        """Bring a claim to agreement; without a quorum the request is not run."""
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
            # The claim may be committed later, for a request that is not run. It
            # would tell all resends that it may have run, so it is released.
            self._settle(self._release_late(request, proposal_id, encoded))
            raise NotRunError(
                "no-quorum", "no majority of replicas answers; nothing was sent"
            ) from error
        except asyncio.CancelledError:
            self._claiming.discard(request.request_id)
            self._settle(self._release_late(request, proposal_id, encoded))
            raise
        if reply.verdict is ClaimVerdict.RUN:
            # In one step with the end of the claiming, so that an asking router
            # never finds neither.
            self._started[reply.claim_index] = None
        self._claiming.discard(request.request_id)
        return reply

    async def _run(self, request: KeyedRequest, claim_index: int, run: Run) -> None:
        end = RunEnd(Outcome.UNKNOWN)
        try:
            end = await run()
        finally:
            self._ended(request, claim_index, end)

    def _ended(self, request: KeyedRequest, claim_index: int, end: RunEnd) -> None:
        """Keep the answer and let the log hear the end."""
        at_seconds = self._ports.now_seconds()
        key = (request.customer_id, request.idempotency_key, claim_index)
        command: ClaimCommand
        if end.outcome is Outcome.NOT_RUN:
            command = ClaimRelease(*key, at_seconds=at_seconds)
            del self._started[claim_index]
        else:
            certain = end.outcome is Outcome.RAN
            # A large answer stays here: the log would carry it to every replica.
            command = Completion(*key, small_answer(end.answer), at_seconds, certain)
            self._started[claim_index] = end
            self._keep(claim_index, end.answer)
        proposal_id = f"{self._router_id}/{self._incarnation}/{claim_index}/end"
        self._settle(self._tell_log(proposal_id, claim_index, command))

    async def _tell_log(
        self, proposal_id: str, claim_index: int, command: ClaimCommand
    ) -> None:
        """Propose the end of a run until the log has it."""
        await self._propose_until_heard(proposal_id, encode_claim_command(command))
        self._started.pop(claim_index, None)

    async def _release_late(
        self, request: KeyedRequest, proposal_id: str, encoded: bytes
    ) -> None:
        """Find out whether a given-up claim was taken, and release it."""
        reply = await self._propose_until_heard(proposal_id, encoded)
        if reply.verdict is ClaimVerdict.RUN:
            release = ClaimRelease(
                request.customer_id,
                request.idempotency_key,
                reply.claim_index,
                self._ports.now_seconds(),
            )
            await self._propose_until_heard(
                f"{proposal_id}/release", encode_claim_command(release)
            )

    async def _propose_until_heard(
        self, proposal_id: str, encoded: bytes
    ) -> ClaimReply:
        while True:
            try:
                return decode_claim_reply(
                    await self._ports.propose(proposal_id, MACHINE, encoded)
                )
            except NoQuorumError:
                await self._ports.sleep(SETTLE_AGAIN_SECONDS)
            except LogError:
                # The log will never take it. The claim stays as it is, and resends
                # hear that it may have run, until it expires.
                logger.exception("the log refuses the end of a keyed request")
                return ClaimReply(ClaimVerdict.MALFORMED)

    def _settle(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _join(self, request: KeyedRequest, reply: ClaimReply) -> OwnerReply:
        """Wait for another's run of the same key.

        Returns:
            The kept answer, or a word after which the claim may be taken over.
        """
        assert reply.owner is not None
        unanswered = 0
        while self._ports.now_seconds() < request.deadline_at_seconds:
            word = await self._ask(reply.owner, reply.claim_index)
            if word is None:
                unanswered += 1
                if unanswered < MAX_UNANSWERED_QUERIES:
                    continue
                word = OwnerReply(RunState.LOST)
            if word.standing is RunState.RUNNING:
                unanswered = 0
                await self._ports.sleep(ASK_AGAIN_SECONDS)
                continue
            if word.standing is RunState.LOST and not request.repeatable:
                raise UnknownOutcomeError(
                    "key-may-have-run",
                    "the router that ran this key is lost; it ran or may have run",
                    status=409,
                )
            return word
        raise UnknownOutcomeError(
            "key-still-running", "another request with this key still runs", status=409
        )

    async def _ask(self, owner: ClaimOwner, claim_index: int) -> OwnerReply | None:
        if owner.router_id == self._router_id:
            return self.report_run_state(owner, claim_index)
        return await self._ports.ask(owner, claim_index)

    async def _answer_of_ended(self, reply: ClaimReply) -> ClaimAnswer:
        """Return the kept answer of an ended claim, or say what is known."""
        if reply.verdict is ClaimVerdict.KEPT and reply.answer is not None:
            return reply.answer
        if reply.verdict is ClaimVerdict.RAN and reply.owner is not None:
            word = await self._ask(reply.owner, reply.claim_index)
            if word is not None and word.answer is not None:
                return word.answer
            raise UnknownOutcomeError(
                "key-ran", "this key ran to its end; its answer is kept no more", 409
            )
        if reply.verdict is ClaimVerdict.MAY_HAVE_RUN:
            raise UnknownOutcomeError(
                "key-may-have-run", "an earlier request with this key may have run", 409
            )
        raise _refusal(reply.verdict)

    def _keep(self, claim_index: int, answer: ClaimAnswer | None) -> None:
        if answer is None or len(answer.body) > self._max_kept_bytes:
            return
        self._kept[claim_index] = answer
        self._kept_bytes += len(answer.body)
        while self._kept_bytes > self._max_kept_bytes:
            _, oldest = self._kept.popitem(last=False)
            self._kept_bytes -= len(oldest.body)


def _refusal(verdict: ClaimVerdict) -> NotRunError:
    """Return the error for a key that the log does not take."""
    if verdict is ClaimVerdict.OTHER_BODY:
        return NotRunError(
            "key-other-body", "this idempotency key came with another body", 422
        )
    if verdict is ClaimVerdict.FULL:
        return NotRunError("claims-full", "no room for another idempotency key", 503)
    return NotRunError("key-invalid", "this idempotency key can't be used", 400)
