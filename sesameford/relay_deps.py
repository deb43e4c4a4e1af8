"""Shared by the modules that relay requests to targets and answers to callers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientResponse, ClientSession
from aiohttp.web import Response
from opentelemetry.trace import Tracer

from sesameford.answers_http import OUTCOME_HEADER, outcome_headers
from sesameford.costs import cost_of_usage
from sesameford.errors import TargetError, TargetLostError
from sesameford.held_answers import HeldBytes, make_held_bytes
from sesameford.outcomes import Outcomes, make_outcomes
from sesameford.probes import ProbeConnection, probe_target
from sesameford.retries import PROVEN_NOT_STARTED, Failure
from sesameford.router import Router
from sesameford.service_adapter import HOP_BY_HOP_HEADERS
from sesameford.silence import Probe
from sesameford.stop_bound import StopBound, make_stop_bound
from sesameford.tables import Attempt, Outcome, Request, Target, Usage

logger = logging.getLogger(__name__)

# After these failures a fresh connection probes whether the target is alive.
_PROBED_FAILURES = frozenset(
    {
        Failure.CONNECT_REFUSED,
        Failure.CONNECT_TIMEOUT,
        Failure.LOST_BEFORE_ANSWER,
        Failure.ANSWER_CUT,
        # The end of an answer without a length may also be a crash.
        Failure.ANSWER_INVALID,
        Failure.TARGET_GONE,
    }
)


@dataclass(frozen=True, slots=True)
class RelayDeps:
    """The dependencies of serving a request."""

    router: Router
    session: ClientSession
    tracer: Tracer
    now: Callable[[], float]
    outcomes: Outcomes = field(default_factory=make_outcomes)
    held_answers: HeldBytes = field(default_factory=make_held_bytes)
    stop_bound: StopBound = field(default_factory=make_stop_bound)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    @contextmanager
    def hold_answer(self) -> Iterator[Callable[[int], None]]:
        """Account for an answer that is read to its end before it is passed on.

        Yields:
            A function to call with the bytes that are held of it, which raises
            ``TargetLostError`` if they are too many.
        """
        fleet = self.router.tree.fleet
        with self.held_answers.hold(fleet.queued_limit_bytes) as held:

            def resize(held_bytes: int) -> None:
                if not held.resize(held_bytes, fleet.answer_limit_bytes):
                    raise TargetLostError(
                        f"the answer is too long: over {held_bytes} bytes",
                        Failure.ANSWER_INVALID,
                    )

            yield resize

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that outlives its caller.

        The event loop holds only weak references to tasks, so they are stored here.
        """
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def check_target_after_failure(
        self, call: "Call", attempt: Attempt, target: Target, error: TargetError
    ) -> None:
        """Record the backoff that a failed attempt's target requests, or probe it."""
        failure = failure_of(error)
        in_flight_attempts = self.outcomes.in_flight_attempts
        if failure in PROVEN_NOT_STARTED:
            in_flight_attempts.record_end(attempt.attempt_id)
        else:
            in_flight_attempts.record_broken(attempt.attempt_id, self.now())
        if error.retry_after_seconds is not None:
            self._back_off(target, error.retry_after_seconds)
        if failure in _PROBED_FAILURES:
            await self.probe_target(target, call.request.request_digest)

    async def probe_target(self, target: Target, digest: bytes) -> Probe:
        """Probe a target at which the exchange of a request broke or is silent.

        A target that fails the probe, over a fresh connection, gets no new work; one
        that refuses the connection counts as crashed. One that closes it later is
        alive as far as this result says, and counts as crashed when it does.
        """
        started_seconds = self.now()

        def watch(connection: ProbeConnection) -> None:
            watching = self.spawn(
                self._watch_for_close(target, connection, started_seconds)
            )
            self.outcomes.unconfirmed_crashes.add(digest, target.target_id, watching)

        probe = await probe_target(target.url, watch)
        self._record_probe(target, probe, started_seconds)
        return probe

    async def _watch_for_close(
        self, target: Target, connection: ProbeConnection, started_seconds: float
    ) -> None:
        """Wait on for a close of a probe's connection."""
        try:
            is_closed = await connection.is_closed_late()
        finally:
            connection.close()
        if is_closed:
            self._record_probe(target, Probe.REFUSED, started_seconds)

    def _record_probe(
        self, target: Target, probe: Probe, started_seconds: float
    ) -> None:
        now_seconds = self.now()
        logger.info(
            "target probed",
            extra={
                "target": target.target_id,
                "incarnation": target.incarnation,
                "result": probe.value,
                "took_seconds": round(now_seconds - started_seconds, 3),
            },
        )
        if probe is Probe.ALIVE:
            return
        self.router.registry.suspend(target.target_id, target.incarnation, now_seconds)
        self.router.refresh_targets()
        if probe is Probe.REFUSED:
            self.outcomes.record_target_crash(
                target.target_id, target.incarnation, now_seconds
            )

    def _back_off(self, target: Target, seconds: float) -> None:
        logger.warning(
            "target requests backoff",
            extra={"target": target.target_id, "retry_after_seconds": seconds},
        )
        self.router.registry.record_requested_backoff(
            target.target_id, target.incarnation, seconds, self.now()
        )
        self.router.refresh_targets()


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request with the parts that are forwarded to a target."""

    request: Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    parsed: dict[str, Any] | None = None

    @property
    def is_streamed(self) -> bool:
        """Return whether the caller requested server-sent events."""
        return bool(self.parsed and self.parsed.get("stream"))


def failure_of(error: TargetError) -> Failure:
    """Return how an attempt failed.

    An unlisted failure counts as an invalid answer, which proves nothing about
    whether the request ran.
    """
    try:
        return Failure(error.failure)
    except ValueError:
        return Failure.ANSWER_INVALID


def settle(
    deps: RelayDeps, call: Call, attempt: Attempt, usage: Usage, outcome: Outcome
) -> None:
    """End an attempt, record its outcome and count its cost."""
    if outcome is Outcome.RAN:
        digest = call.request.request_digest
        deps.outcomes.in_flight_attempts.record_end(attempt.attempt_id)
        deps.outcomes.suspects.record_completion(digest, deps.now())
        deps.outcomes.unconfirmed_crashes.clear(digest)
        deps.router.registry.record_success(attempt.target_id)
    elif outcome is Outcome.UNKNOWN:
        # The body may still crash the target after the caller disconnected.
        deps.outcomes.in_flight_attempts.record_broken(attempt.attempt_id, deps.now())
    else:
        deps.outcomes.in_flight_attempts.record_end(attempt.attempt_id)
    deps.router.settle(attempt, usage, outcome)
    cost_units = cost_of_usage(deps.router.tree, call.request, usage)
    labels = {"customer": call.request.customer_id}
    deps.router.metrics.cost_units.add(labels, cost_units)


def make_relayed_response(
    response: ClientResponse, body: bytes, call: Call
) -> Response:
    """Return a target's answer as the response to the caller."""
    headers = {
        key: value
        for key, value in response.headers.items()
        if key.lower() not in HOP_BY_HOP_HEADERS and key != OUTCOME_HEADER
    }
    headers.update(outcome_headers(Outcome.RAN, call.request.request_id))
    return Response(status=response.status, body=body, headers=headers)
