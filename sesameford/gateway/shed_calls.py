"""Refuses calls that have waited too long, without opening their connections.

The load: one customer's callers open thousands of connections a second at one router.
To open a connection, read its call and refuse it costs most of a late router's time, so
it serves next to nothing of the customer's share, and the others' callers wait too. A
call that has come in whole is answered here in a few system calls.
"""

import logging
import re
import socket

from sesameford.early_answers import BODILESS_ANSWER_METHODS
from sesameford.gateway.call_context import GatewayDeps
from sesameford.gateway.generated_answer import GeneratedAnswer
from sesameford.gateway.overload_checks import (
    OVERLOADED,
    other_instance_retry_seconds,
)
from sesameford.listener import Shedder

logger = logging.getLogger(__name__)

MAX_REQUEST_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)[ \t]*(?=\r\n)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\n(transfer-encoding|expect):", re.IGNORECASE)
_BODILESS_METHODS = tuple(f"{method} ".encode() for method in BODILESS_ANSWER_METHODS)


def make_shedder(deps: GatewayDeps) -> Shedder:
    """Return the function that sheds an accepted connection, see ``listener``."""
    id_header = re.compile(
        rb"\r\n%b:[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)"
        % re.escape(deps.wire_adapter.request_id_header.encode()),
        re.IGNORECASE,
    )

    def shed(connection: socket.socket) -> bool:
        try:
            data = connection.recv(MAX_REQUEST_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as error:
            logger.debug("the caller has left: %s", error)
            connection.close()
            return True
        if not _is_whole_request(data):
            return False
        try:
            # Closed with unread bytes, the connection would be reset and the answer
            # lost.
            connection.recv(len(data))
            connection.send(_make_answer(deps, id_header.search(data)))
        except OSError as error:
            logger.debug("the caller has left: %s", error)
        connection.close()
        return True

    return shed


def _is_whole_request(data: bytes) -> bool:
    """Return whether data are one request, with its whole body and nothing after it."""
    head_bytes = data.find(HEAD_END) + len(HEAD_END)
    if head_bytes < len(HEAD_END) or data.startswith(_BODILESS_METHODS):
        return False
    head = data[:head_bytes]
    if _CHUNKED.search(head):
        return False
    lengths = _LENGTH.findall(head)
    body_bytes = int(lengths[0]) if lengths else 0
    return len(lengths) <= 1 and len(data) == head_bytes + body_bytes


def _make_answer(deps: GatewayDeps, request_id: re.Match[bytes] | None) -> bytes:
    """Count a refusal and return its answer."""
    deps.metrics.record_refusal(OVERLOADED)
    deps.gate.account.record_late_refusal()
    state = deps.state()
    objective_seconds = 1.0 if state is None else state.shortest_objective_seconds
    retry_seconds = other_instance_retry_seconds(objective_seconds, deps.random)
    headers = {"Retry-After": f"{retry_seconds:.3f}"}
    if request_id is not None:
        name = deps.wire_adapter.request_id_header
        headers[name] = request_id[1].decode("latin-1")
    answer = GeneratedAnswer(503, headers, f"{OVERLOADED}\n", True)
    return answer.to_early_answer().closing_bytes
