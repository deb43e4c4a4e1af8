"""Dispatches messages from other instances to the parts that handle them."""

from collections.abc import Callable
from dataclasses import dataclass

from sesameford.keyed import KeyedRequests
from sesameford.log_service import LogService
from sesameford.members import Members
from sesameford.messages import (
    Heartbeat,
    LeaseAttestations,
    LogPayload,
    Message,
    ModelUse,
    ModelUseQuery,
    ProposalReply,
    ProposalRequest,
    StoredAnswer,
    StoredAnswerQuery,
    SuspectUpdate,
    TargetAnnouncement,
    TargetRenewal,
    TargetRow,
    TargetRows,
    TargetRowsRequest,
    TreeRequest,
    TreeSnapshot,
    TreeSteps,
)
from sesameford.order_service import OrderService
from sesameford.outcomes import Outcomes
from sesameford.owner_queries import OwnerQueries
from sesameford.router import Router
from sesameford.target_replication import TargetReplication
from sesameford.tree_holder import TreeHolder

_TARGET_MESSAGES = (
    TargetAnnouncement
    | TargetRenewal
    | TargetRow
    | TargetRows
    | LeaseAttestations
    | TargetRowsRequest
)


@dataclass(frozen=True, slots=True)
class InboxDeps:
    """The parts of an instance that handle messages."""

    members: Members
    targets: TargetReplication
    send_target_messages: Callable[[], None]
    tree: TreeHolder
    log: LogService
    outcomes: Outcomes
    owner_queries: OwnerQueries
    keyed: KeyedRequests
    orders: OrderService
    router: Router
    now: Callable[[], float]


def make_inbox(deps: InboxDeps) -> Callable[[str, int, Message], None]:
    """Return a handler of messages, with the sender's id and incarnation."""

    def handle_message_from_peer(
        sender_id: str, incarnation: int, message: Message
    ) -> None:
        now_seconds = deps.now()
        match message:
            case Heartbeat():
                deps.members.handle_heartbeat(
                    sender_id, incarnation, message, now_seconds
                )
            case TreeSteps() | TreeSnapshot() | TreeRequest():
                deps.tree.handle_message(sender_id, message)
            case LogPayload() | ProposalRequest() | ProposalReply():
                deps.log.handle_message(sender_id, incarnation, message, now_seconds)
            case SuspectUpdate():
                deps.outcomes.merge_suspect_update(message, now_seconds)
            case StoredAnswerQuery():
                deps.owner_queries.handle_query(sender_id, message, deps.keyed)
            case StoredAnswer():
                deps.owner_queries.handle_answer(message)
            case ModelUseQuery():
                deps.orders.handle_model_use_query(sender_id, message)
            case ModelUse():
                deps.orders.handle_model_use(sender_id, incarnation, message)
            case _ if isinstance(message, _TARGET_MESSAGES):
                if _handle_target_message(
                    deps.targets, sender_id, message, now_seconds
                ):
                    deps.router.tick()
                deps.send_target_messages()
            case _:
                deps.router.scheduler.handle_message(
                    sender_id, incarnation, message, now_seconds
                )
                deps.router.schedule_decision()

    return handle_message_from_peer


def _handle_target_message(
    targets: TargetReplication, sender_id: str, message: Message, now_seconds: float
) -> bool:
    """Handle a message about targets; return whether their table may have changed."""
    match message:
        case TargetAnnouncement():
            targets.handle_announcement(message, now_seconds)
        case TargetRenewal():
            targets.handle_renewal(sender_id, message, now_seconds)
        case TargetRow():
            return targets.handle_row(sender_id, message, now_seconds)
        case TargetRows():
            targets.handle_rows(sender_id, message, now_seconds)
            return True
        case LeaseAttestations():
            targets.handle_attestations(sender_id, message, now_seconds)
        case TargetRowsRequest():
            targets.handle_rows_request(sender_id, message, now_seconds)
    return False
