"""The check of the promises by what the soak of the platform's programs recorded."""

from collections import Counter
from collections.abc import Iterator, Mapping

from standins.platform_fleet import HeartbeatServer, PlatformFleet
from standins.platform_server import ReceivedCall
from tools.crash_checks import (
    late_crashing_sends,
    late_part_sends,
    refused_innocent_requests,
)
from tools.notice_checks import (
    DRAIN_LIMIT_SECONDS,
    MAX_CALLS_DURING_BACKOFF,
    calls_after_drain,
    drain_announced_at_seconds,
    requested_backoffs,
)
from tools.platform_soak_records import (
    NOT_RUN_STATUSES,
    Records,
    SentRequest,
    is_fault_near,
)
from tools.retry_checks import retries_beyond_budget
from tools.send_checks import (
    calls_beyond_attempts,
    calls_cut_in_a_stop,
    calls_with_too_much_time,
)

# The servers of an evacuated data centre get no request later than this after the
# acknowledgement.
EVACUATION_LIMIT_SECONDS = 2.5


def findings(records: Records, fleet: PlatformFleet) -> list[str]:
    """Return one line for each broken promise."""
    runs: Counter[str] = Counter()
    for server in records.servers:
        runs.update(server.server.runs)
    found: list[str] = []
    for sent in records.sent:
        found.extend(_request_findings(sent, runs[sent.request_id], records))
    found.extend(f"{exit_text} by itself" for exit_text in fleet.unplanned_exits)
    found.extend(f"{name} is never ready" for name in records.never_ready)
    found.extend(f"change {change} refused" for change in records.refused_changes)
    found.extend(
        f"{name} ended its planned stop with {code}"
        for name, code in records.exit_codes
        if code != 0
    )
    found.extend(_work_after_drain(records))
    found.extend(_work_while_evacuated(records))
    found.extend(_calls_against_notices(records))
    found.extend(late_crashing_sends(records))
    found.extend(late_part_sends(records))
    found.extend(refused_innocent_requests(records))
    found.extend(_mixed_streams(records))
    found.extend(retries_beyond_budget(records))
    found.extend(calls_beyond_attempts(records))
    found.extend(calls_with_too_much_time(records))
    found.extend(calls_cut_in_a_stop(records))
    return found


def _mixed_streams(records: Records) -> Iterator[str]:
    """Return the streams that hold events of several software versions."""
    versions_of: dict[str, frozenset[str]] = {}
    for sent in records.sent:
        stream = sent.resumes or sent.request_id
        versions = versions_of.get(stream, frozenset())
        versions_of[stream] = versions | sent.event_versions
    for stream, versions in versions_of.items():
        if len(versions) > 1:
            yield f"stream {stream} holds events of {', '.join(sorted(versions))}"


def _request_findings(sent: SentRequest, runs: int, records: Records) -> Iterator[str]:
    name = f"{sent.kind} {sent.request_id} at {sent.router}"
    if runs > 1 and not sent.may_repeat:
        yield f"{name} ran {runs} times"
    if sent.status in NOT_RUN_STATUSES and runs and not sent.may_repeat:
        yield f"{name} was answered with {sent.status} but ran"
    if sent.is_complete and not sent.is_own_answer:
        yield f"{name} got an answer that is not its own or not whole"
    if sent.status == 401 or (sent.status == 404 and sent.kind != "new"):
        yield f"{name} was denied with {sent.status}"
    if sent.status in (400, 413, 431):
        yield f"{name} was rejected as malformed with {sent.status}"
    touched = any(
        span.subject in (sent.router, "core") and span.overlaps(sent)
        for span in records.faults + records.stops
    )
    if sent.kind == "new" and sent.settled_version is not None and not touched:
        has_route = sent.settled_version % 2 == 0
        if sent.status == (404 if has_route else 200):
            yield f"{name} got {sent.status} under version {sent.settled_version}"
    is_cut = sent.status == 0 and runs > 0 and sent.failure != "timeout"
    harmed = any(
        span.subject in (sent.router, "servers") and span.overlaps(sent)
        for span in records.faults
    )
    if is_cut and not harmed:
        stopping = any(
            span.subject == sent.router and span.overlaps(sent)
            for span in records.stops
        )
        yield f"{name} was cut ({sent.failure})" + (" by a stop" if stopping else "")


def _work_after_drain(records: Records) -> Iterator[str]:
    """Return servers that got work long after they announced that they drain."""
    core_faults = [span for span in records.faults if span.subject == "core"]
    for server in records.servers:
        if server.drained_at_seconds is None:
            continue
        late_seconds = server.server.last_arrival_seconds - server.drained_at_seconds
        drained_at_seconds = server.drained_at_seconds
        harmed = is_fault_near(core_faults, drained_at_seconds, drained_at_seconds)
        if late_seconds > DRAIN_LIMIT_SECONDS and not harmed:
            name = server.server.target_id
            yield f"{name} got work {late_seconds:.1f} s after it drained"


def _work_while_evacuated(records: Records) -> Iterator[str]:
    """Return servers that got work long after their data centre was evacuated."""
    harm = [span for span in records.faults if span.subject == "core"]
    harm += records.pauses
    for span in records.evacuations:
        for server in records.servers:
            if server.data_centre != span.subject:
                continue
            for at_seconds in server.server.arrivals_seconds:
                late_seconds = at_seconds - span.from_seconds
                if (
                    late_seconds <= EVACUATION_LIMIT_SECONDS
                    or at_seconds >= span.to_seconds
                ):
                    continue
                if not is_fault_near(harm, span.from_seconds, at_seconds):
                    name = server.server.target_id
                    yield f"{name} got work {late_seconds:.1f} s after its evacuation"


def _calls_by_router(
    server: HeartbeatServer, router_of: Mapping[str, str]
) -> dict[str, list[ReceivedCall]]:
    """Return the calls that a server received, by the router that sent them."""
    by_router: dict[str, list[ReceivedCall]] = {}
    for call in server.server.received_calls:
        by_router.setdefault(router_of.get(call.request_id, ""), []).append(call)
    return by_router


def _calls_against_notices(records: Records) -> Iterator[str]:
    """Return servers that got calls of a router that they had asked to send none."""
    router_of = {sent.request_id: sent.router for sent in records.sent}
    for server in records.servers:
        name = server.server.target_id
        for router, calls in _calls_by_router(server, router_of).items():
            for backoff in requested_backoffs(calls):
                span = (backoff.from_seconds, backoff.to_seconds)
                is_broken = backoff.calls > MAX_CALLS_DURING_BACKOFF
                if is_broken and not records.is_excused(router, name, *span):
                    seconds = backoff.to_seconds - backoff.from_seconds
                    yield (
                        f"{name} requested {seconds:.1f} s of backoff of {router} "
                        f"and got {backoff.calls} calls in it"
                    )
            late = calls_after_drain(calls)
            announced_at_seconds = drain_announced_at_seconds(calls)
            if not late or announced_at_seconds is None:
                continue
            last_seconds = late[-1].arrived_at_seconds
            if not records.is_excused(router, name, announced_at_seconds, last_seconds):
                yield f"{name} got {len(late)} calls of {router} after its drain"
