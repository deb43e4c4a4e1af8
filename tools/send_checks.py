"""Checks of calls that routers pass on: how often, how much time, and in a stop."""

from collections import defaultdict
from collections.abc import Iterator

from standins.platform_server import ReceivedCall
from tools.platform_soak_records import Records, SentRequest, is_fault_near

# The routes of the stand-in allow a repeatable call so many targets.
MAX_ATTEMPTS = 2
DEADLINE_HEADER = "x-sesameford-deadline-ms"
# A target may be handed so much more time than the caller has left.
MAX_EXTRA_SECONDS = 0.5
# A server reads what arrived in a stall of its loop within this time after it.
READ_SECONDS = 0.1


def calls_beyond_attempts(records: Records) -> Iterator[str]:
    """Return calls that ran on more servers than their route allows."""
    servers_of: dict[str, int] = defaultdict(int)
    for server in records.servers:
        for request_id in server.server.runs:
            servers_of[request_id] += 1
    for request_id, servers in servers_of.items():
        if servers > MAX_ATTEMPTS:
            yield f"{request_id} ran on {servers} servers"


def calls_with_too_much_time(records: Records) -> Iterator[str]:
    """Return calls for which a server was handed more time than their callers had."""
    sent_by_id = {sent.request_id: sent for sent in records.sent}
    for server in records.servers:
        for call in server.server.received_calls:
            sent = sent_by_id.get(call.request_id)
            if sent is None or _is_in_time(records, sent, call):
                continue
            span = (sent.at_seconds, call.arrived_at_seconds)
            if not records.is_excused(sent.router, server.server.target_id, *span):
                yield f"{call.request_id} of {sent.router} was handed too much time"


def _is_in_time(records: Records, sent: SentRequest, call: ReceivedCall) -> bool:
    text = call.headers.get(DEADLINE_HEADER)
    if text is None:
        return False
    ends_at_seconds = _first_arrival_seconds(records, call) + float(text) / 1000
    until_seconds = sent.at_seconds + records.deadline_seconds
    return ends_at_seconds <= until_seconds + MAX_EXTRA_SECONDS


def _first_arrival_seconds(records: Records, call: ReceivedCall) -> float:
    """Return since when a call may have lain unread at its server."""
    stalls = [
        stall.from_seconds
        for stall in records.stalls
        if stall.from_seconds
        <= call.arrived_at_seconds
        <= stall.to_seconds + READ_SECONDS
    ]
    return min(stalls, default=call.arrived_at_seconds)


def calls_cut_in_a_stop(records: Records) -> Iterator[str]:
    """Return calls that a router took in a planned stop and did not answer whole."""
    runs = {name for server in records.servers for name in server.server.runs}
    for sent in records.sent:
        if sent.is_complete or sent.left_early or sent.request_id not in runs:
            continue
        ends_at_seconds = sent.at_seconds + sent.duration_seconds
        span = (sent.at_seconds, ends_at_seconds)
        is_taken_in_stop = any(
            stop.subject == sent.router
            and stop.from_seconds < sent.at_seconds <= stop.to_seconds
            for stop in records.stops
        )
        harm = [
            fault
            for fault in records.faults + records.pauses
            if fault.subject in (sent.router, "servers", "core")
        ]
        if is_taken_in_stop and not is_fault_near(harm, *span):
            yield f"{sent.kind} {sent.request_id} at {sent.router} was cut by a stop"
