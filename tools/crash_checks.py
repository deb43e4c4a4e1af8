"""Checks of requests, and parts of prompts, that crash the servers that run them."""

from collections.abc import Iterable, Iterator, Sequence

from standins.platform_server import ReceivedCall, has_crashing_part
from tools.platform_soak_records import Records, is_fault_near

# A request that crashes its servers may reach so many of them later than this after the
# third crash.
CRASHES_BEFORE_LATE_SENDS = 3
MAX_LATE_CRASHING_SENDS = 3
CRASH_CONTACT_SECONDS = 3.0
# The same of requests that share a part of their prompts, after the fifth.
PART_CRASHES_BEFORE_LATE_SENDS = 5
# Of so many innocent requests that were sent long after servers ended, at least this
# part is served.
MIN_INNOCENT_REQUESTS = 20
MIN_INNOCENT_SERVED_PART = 0.5


def late_crashing_sends(records: Records) -> Iterator[str]:
    """Return requests that reached servers long after they had crashed three.

    Sends of routers that may not have heard of the crashes are left out.
    """
    received = [call for one in records.servers for call in one.server.received_calls]
    crashing = [
        call for call in _crashing_calls(records) if not has_crashing_part(call)
    ]
    for body in {call.body for call in crashing}:
        times = sorted(
            call.arrived_at_seconds for call in crashing if call.body == body
        )
        sends = [call for call in received if call.body == body]
        late = _count_late_sends(records, sends, times, CRASHES_BEFORE_LATE_SENDS)
        if late > MAX_LATE_CRASHING_SENDS:
            yield (
                f"{body.decode()} reached servers {late} times after it had "
                f"crashed three, {len(times)} in all"
            )


def late_part_sends(records: Records) -> Iterator[str]:
    """Return whether prompts with a part reached servers long after it crashed five."""
    received = [call for one in records.servers for call in one.server.received_calls]
    sends = [call for call in received if has_crashing_part(call)]
    times = _part_crash_times(records)
    late = _count_late_sends(records, sends, times, PART_CRASHES_BEFORE_LATE_SENDS)
    if late > MAX_LATE_CRASHING_SENDS:
        yield (
            f"prompts with one part reached servers {late} times after it had crashed "
            f"five, {len(times)} in all"
        )


def refused_innocent_requests(records: Records) -> Iterator[str]:
    """Return whether innocent requests are refused because others crash servers.

    Counted are those sent long after the part of prompts crashed its last server, or
    its fifth, by routers in touch.
    """
    times = _part_crash_times(records)
    if not times:
        return
    last_seconds = times[min(len(times), PART_CRASHES_BEFORE_LATE_SENDS) - 1]
    since_seconds = last_seconds + 2 * CRASH_CONTACT_SECONDS
    innocent = [
        sent
        for sent in records.sent
        if not sent.is_crashing
        and sent.at_seconds > since_seconds
        and not _is_out_of_touch(records, sent.router, sent.at_seconds)
    ]
    refused = sum(sent.reason in ("quarantined", "on-trial") for sent in innocent)
    max_refused = (1.0 - MIN_INNOCENT_SERVED_PART) * len(innocent)
    if len(innocent) >= MIN_INNOCENT_REQUESTS and refused > max_refused:
        yield f"{refused} of {len(innocent)} innocent requests were refused as suspects"


def _crashing_calls(records: Records) -> list[ReceivedCall]:
    return [call for one in records.servers for call in one.server.crashing_calls]


def _part_crash_times(records: Records) -> list[float]:
    """Return when servers crashed under the part of prompts that crashes them."""
    calls = filter(has_crashing_part, _crashing_calls(records))
    return sorted(call.arrived_at_seconds for call in calls)


def _count_late_sends(
    records: Records,
    sends: Iterable[ReceivedCall],
    crashes_seconds: Sequence[float],
    allowed_crashes: int,
) -> int:
    """Return how many calls routers in touch sent long after the allowed crashes."""
    if len(crashes_seconds) < allowed_crashes:
        return 0
    router_of = {sent.request_id: sent.router for sent in records.sent}
    due_seconds = crashes_seconds[allowed_crashes - 1] + CRASH_CONTACT_SECONDS
    return sum(
        call.arrived_at_seconds > due_seconds
        and not _is_out_of_touch(
            records, router_of.get(call.request_id, ""), call.arrived_at_seconds
        )
        for call in sends
    )


def _is_out_of_touch(records: Records, router: str, at_seconds: float) -> bool:
    """Return whether a router may lack what the others knew for seconds."""
    spans = [
        span
        for span in records.faults + records.stops + records.pauses
        if span.subject in (router, "core")
    ]
    return is_fault_near(spans, at_seconds, at_seconds)
