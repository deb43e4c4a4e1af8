"""The replicated state machine that accepts changes of the settings tree in order.

A command carries the difference from the tree at its base revision, not the whole
tree: the instance that received the change has parsed and validated it, so replicas
neither parse nor store 22,000 customers for each change. The digest of the resulting
tree proves that the difference was applied to the tree that it was computed from.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.tree import (
    DATA_CENTRES,
    DeclaredTree,
    TreeDifference,
    data_centre_path,
    difference,
    evacuation_nodes,
    is_evacuated,
    merge_nodes,
    tree_digest,
)
from sesameford.tree_store import TreeStep, TreeStore

MACHINE_NAME = "tree"

# Covers a week of changes at the target size. An older change that is sent again is
# answered as a conflict; it can't be accepted twice, because its base revision is no
# longer the present one.
MAX_ACCEPTED_ANSWERS = 5000
MAX_REJECTED_ANSWERS = 1000
MAX_HISTORY_ENTRY_PATHS = 5
HISTORY_PAGE_ENTRIES = 500

ACCEPTED = "accepted"
UNCHANGED = "unchanged"
CONFLICT = "conflict"
REFUSED = "refused"
BEHIND = "behind"


class TreeChange(Struct, frozen=True, tag=True):
    """A proposed change of the tree.

    ``put`` and ``removed`` are the difference from the tree at ``base_revision``;
    ``digest`` is that of the whole tree as the operator declared it.
    """

    change_id: str
    base_revision: int
    operator: str
    at_seconds: float
    put: dict[str, bytes]
    removed: tuple[str, ...]
    digest: bytes


class HistoryQuery(Struct, frozen=True, tag="HistoryWanted"):
    """Requests the history before a revision through the log; changes no state."""

    before_revision: int


class TreeDeclaration(Struct, frozen=True, tag=True):
    """The full contents of some roots, from an external declarer that versions them.

    The highest version wins. ``nodes`` replaces everything under ``roots``; fields of
    ``fleet`` are merged with those that others have set. ``text`` is the declarer's
    own document, stored so that the declarer can read it back.
    """

    declarer: str
    version: int
    at_seconds: float
    roots: tuple[str, ...]
    nodes: dict[str, bytes]
    text: bytes


class EvacuationOrder(Struct, frozen=True, tag=True):
    """Requests that a data centre is evacuated or restored.

    ``base_revision`` is the newest revision at the instance that received the order.
    The order is out of date if the data centre was evacuated or restored after it.
    ``order_id`` is empty if the operator gave the order no id.
    """

    order_id: str
    data_centre: str
    evacuated: bool
    base_revision: int
    operator: str
    at_seconds: float


class DeclaredVersionQuery(Struct, frozen=True, tag="DeclaredWanted"):
    """Requests the newest accepted version through the log; changes no state."""


class ChangeAnswer(Struct, frozen=True):
    """The result of a command.

    ``revision`` is the revision of the tree after the command; ``version`` is that of
    the newest accepted declaration, or 0 if there is none.
    """

    status: str
    revision: int
    detail: str = ""
    version: int = 0


class HistoryEntry(Struct, frozen=True):
    """An accepted change: its operator and the first few of the paths it changed."""

    revision: int
    change_id: str
    operator: str
    at_seconds: float
    paths: tuple[str, ...]
    path_count: int


class _RecordedAnswer(Struct, frozen=True, array_like=True):
    """An answer stored for resends, with the digest of the change it answers."""

    change_id: str
    digest: bytes
    answer: ChangeAnswer


class _Snapshot(Struct, frozen=True):
    """The complete state of the state machine."""

    revision: int
    nodes: dict[str, bytes]
    history: tuple[HistoryEntry, ...]
    answered: tuple[_RecordedAnswer, ...]
    turned_down: tuple[_RecordedAnswer, ...]
    declared_version: int = 0
    declared_text: bytes = b""
    evacuation_revisions: dict[str, int] = {}


Command = (
    TreeChange | HistoryQuery | TreeDeclaration | DeclaredVersionQuery | EvacuationOrder
)

_encoder = Encoder()
_commands: Decoder[Command] = Decoder(Command)
_snapshots = Decoder(_Snapshot)
_answers = Decoder(ChangeAnswer)
_histories = Decoder(tuple[HistoryEntry, ...])


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encoder.encode(command)


def decode_answer(encoded: bytes) -> ChangeAnswer:
    """Decode the answer to a change."""
    return _answers.decode(encoded)


def decode_history(encoded: bytes) -> Sequence[HistoryEntry]:
    """Decode the answer to a history query, newest entry first."""
    return _histories.decode(encoded)


def digest_bytes(digest: int) -> bytes:
    """Encode a tree's digest for a command."""
    return digest.to_bytes(16, "big")


class TreeMachine:
    """The accepted tree, its history and the stored answers.

    Args:
        on_commit: Called with this state machine after each accepted change and after
            a snapshot is restored.
    """

    name = MACHINE_NAME

    def __init__(self, on_commit: Callable[["TreeMachine"], None]) -> None:
        self._on_commit = on_commit
        self._history: OrderedDict[int, HistoryEntry] = OrderedDict()
        self._accepted_answers: OrderedDict[str, _RecordedAnswer] = OrderedDict()
        self._rejected_answers: OrderedDict[str, _RecordedAnswer] = OrderedDict()
        self.store = TreeStore()
        self.declared_version = 0
        self.declared_text = b""
        # The revision at which each data centre was last evacuated or restored.
        self._evacuation_revisions: dict[str, int] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the answer for its proposer.

        Args:
            index: The command's index in the log.
            command: One of the five encoded commands; anything else is refused.

        Returns:
            An encoded ``ChangeAnswer``, or the encoded history.
        """
        try:
            decoded = _commands.decode(command)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            return _encoder.encode(self._make_answer(REFUSED, f"malformed: {error}"))
        if isinstance(decoded, HistoryQuery):
            return _encoder.encode(self.history(decoded.before_revision))
        if isinstance(decoded, DeclaredVersionQuery):
            return _encoder.encode(self._make_answer(UNCHANGED))
        if isinstance(decoded, TreeDeclaration):
            return _encoder.encode(self._apply_declaration(decoded))
        if isinstance(decoded, EvacuationOrder):
            return _encoder.encode(self._apply_evacuation(decoded))
        return _encoder.encode(self._apply_change(decoded))

    def history(self, before_revision: int) -> tuple[HistoryEntry, ...]:
        """Return one page of accepted changes before a revision, newest first."""
        found = []
        for revision in reversed(self._history):
            if revision < before_revision:
                found.append(self._history[revision])
            if len(found) == HISTORY_PAGE_ENTRIES:
                break
        return tuple(found)

    def snapshot(self) -> bytes:
        """Return the encoded state, with the stored answers that recognise resends."""
        return _encoder.encode(
            _Snapshot(
                self.store.revision,
                dict(self.store.declared.nodes),
                tuple(self._history.values()),
                tuple(self._accepted_answers.values()),
                tuple(self._rejected_answers.values()),
                self.declared_version,
                self.declared_text,
                self._evacuation_revisions,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot."""
        decoded = _snapshots.decode(snapshot)
        self.store.replace(decoded.revision, decoded.nodes, tree_digest(decoded.nodes))
        self._history = OrderedDict(
            (entry.revision, entry) for entry in decoded.history
        )
        self._accepted_answers = _index_by_change_id(decoded.answered)
        self._rejected_answers = _index_by_change_id(decoded.turned_down)
        self.declared_version = decoded.declared_version
        self.declared_text = decoded.declared_text
        self._evacuation_revisions = dict(decoded.evacuation_revisions)
        self._on_commit(self)

    def _make_answer(self, status: str, detail: str = "") -> ChangeAnswer:
        return ChangeAnswer(status, self.store.revision, detail, self.declared_version)

    def _apply_declaration(self, declaration: TreeDeclaration) -> ChangeAnswer:
        """Apply a declaration if its version is higher than all before.

        A repeated or late declaration is acknowledged without effect: its declarer
        only needs to know that the fleet has this version or a newer one. The first
        version is above 0, which stands for none.
        """
        if declaration.version <= self.declared_version:
            if self.declared_version == 0:
                detail = f"version {declaration.version} is below the first one, 1"
                return self._make_answer(REFUSED, detail)
            return self._make_answer(UNCHANGED)
        self.declared_version = declaration.version
        self.declared_text = declaration.text
        nodes = _merge_declaration(self.store.declared.nodes, declaration)
        applied = difference(self.store.declared, DeclaredTree(nodes))
        if applied.is_empty():
            return self._make_answer(ACCEPTED)
        self._advance(applied)
        self._record_history(
            f"{declaration.declarer}/{declaration.version}",
            declaration.declarer,
            declaration.at_seconds,
            applied,
        )
        self._on_commit(self)
        return self._make_answer(ACCEPTED)

    def _apply_evacuation(self, order: EvacuationOrder) -> ChangeAnswer:
        """Evacuate a data centre or restore it, once for each order id.

        A repeated order finds its state already in force. An order that was delayed
        while its opposite was accepted would undo the newer order, so it is answered
        as a conflict.
        """
        recorded = self._recorded_answer(order.order_id)
        if recorded is not None:
            if recorded.digest != _order_digest(order):
                return self._make_answer(REFUSED, "this id was used for another change")
            return recorded.answer
        answer = self._decide_order(order)
        if order.order_id and answer.status != CONFLICT:
            table, limit = self._rejected_answers, MAX_REJECTED_ANSWERS
            if answer.status == ACCEPTED:
                table, limit = self._accepted_answers, MAX_ACCEPTED_ANSWERS
            record = _RecordedAnswer(order.order_id, _order_digest(order), answer)
            _store_record(table, record, limit)
        if answer.status == ACCEPTED:
            self._on_commit(self)
        return answer

    def _decide_order(self, order: EvacuationOrder) -> ChangeAnswer:
        """Apply an order unless it is in force already or out of date."""
        nodes = self.store.declared.nodes
        if is_evacuated(nodes, order.data_centre) == order.evacuated:
            return self._make_answer(UNCHANGED)
        newest = self._evacuation_revisions.get(order.data_centre, 0)
        if newest > order.base_revision:
            return self._make_answer(CONFLICT)
        put = evacuation_nodes(nodes, order.data_centre, order.evacuated)
        applied = TreeDifference(put, ())
        self._advance(applied)
        history_difference = TreeDifference(
            {data_centre_path(order.data_centre): b""}, ()
        )
        change_id = order.order_id or ("evacuate" if order.evacuated else "restore")
        self._record_history(
            change_id, order.operator, order.at_seconds, history_difference
        )
        return self._make_answer(ACCEPTED)

    def _recorded_answer(self, change_id: str) -> _RecordedAnswer | None:
        """Return the stored answer to an id, if there is one."""
        return self._accepted_answers.get(change_id) or self._rejected_answers.get(
            change_id
        )

    def _advance(self, applied: TreeDifference) -> None:
        """Advance the tree by one revision with a difference computed here."""
        revision = self.store.revision + 1
        self.store.apply_step(
            TreeStep(revision, applied, self.store.digest_after(applied))
        )

    def _apply_change(self, change: TreeChange) -> ChangeAnswer:
        """Accept or reject a change, once for each change id."""
        # An operator that lost the answer sends the change again. As a new change it
        # would conflict with itself, so the first answer is repeated.
        recorded = self._recorded_answer(change.change_id)
        if recorded is not None:
            if recorded.digest != change.digest:
                return self._make_answer(
                    REFUSED, "this change id was used for another tree"
                )
            return recorded.answer
        answer = self._decide_change(change)
        if answer.status == ACCEPTED:
            _store_answer(self._accepted_answers, change, answer, MAX_ACCEPTED_ANSWERS)
            self._on_commit(self)
        elif answer.status != BEHIND:
            _store_answer(self._rejected_answers, change, answer, MAX_REJECTED_ANSWERS)
        return answer

    def _decide_change(self, change: TreeChange) -> ChangeAnswer:
        """Apply a change if it is based on the present tree."""
        if change.digest == digest_bytes(self.store.digest):
            return self._make_answer(UNCHANGED)
        if change.base_revision != self.store.revision:
            return self._make_answer(CONFLICT)
        step = TreeStep(
            self.store.revision + 1,
            TreeDifference(change.put, change.removed),
            int.from_bytes(change.digest, "big"),
        )
        # The instance that received the change hadn't reached the base revision yet.
        # That is no property of the change, so the answer isn't stored.
        if not self.store.apply_step(step):
            return self._make_answer(BEHIND, "the difference does not fit the tree")
        self._record_history(
            change.change_id, change.operator, change.at_seconds, step.difference
        )
        return self._make_answer(ACCEPTED)

    def _record_history(
        self, change_id: str, operator: str, at_seconds: float, applied: TreeDifference
    ) -> None:
        """Record an accepted change in the history and in the evacuation revisions."""
        paths = sorted({*applied.put, *applied.removed})
        for path in paths:
            root, _, name = path.partition("/")
            if root == DATA_CENTRES and name:
                self._evacuation_revisions[name] = self.store.revision
        self._history[self.store.revision] = HistoryEntry(
            self.store.revision,
            change_id,
            operator,
            at_seconds,
            tuple(paths[:MAX_HISTORY_ENTRY_PATHS]),
            len(paths),
        )
        if len(self._history) > MAX_ACCEPTED_ANSWERS:
            self._history.popitem(last=False)


def _merge_declaration(
    present: Mapping[str, bytes], declaration: TreeDeclaration
) -> dict[str, bytes]:
    """Return the nodes of the tree after a declaration is applied."""
    nodes = {
        path: encoded
        for path, encoded in present.items()
        if path.partition("/")[0] not in declaration.roots
    }
    nodes.update(declaration.nodes)
    if "fleet" in declaration.nodes and "fleet" in present:
        nodes["fleet"] = merge_nodes(present["fleet"], declaration.nodes["fleet"])
    return nodes


def _store_answer(
    table: OrderedDict[str, _RecordedAnswer],
    change: TreeChange,
    answer: ChangeAnswer,
    limit: int,
) -> None:
    """Store an answer for resends, dropping the oldest beyond the limit."""
    _store_record(
        table, _RecordedAnswer(change.change_id, change.digest, answer), limit
    )


def _store_record(
    table: OrderedDict[str, _RecordedAnswer], record: _RecordedAnswer, limit: int
) -> None:
    """Store an answer record, dropping the oldest beyond the limit."""
    table[record.change_id] = record
    if len(table) > limit:
        table.popitem(last=False)


def _order_digest(order: EvacuationOrder) -> bytes:
    """Return bytes that distinguish different orders under the same id."""
    return f"{order.data_centre}/{order.evacuated}".encode()


def _index_by_change_id(
    records: Sequence[_RecordedAnswer],
) -> OrderedDict[str, _RecordedAnswer]:
    """Index stored answers by change id, oldest first."""
    return OrderedDict((record.change_id, record) for record in records)


def make_tree_change(
    store: TreeStore,
    difference: TreeDifference,
    *,
    change_id: str,
    base_revision: int,
    operator: str,
    at_seconds: float,
) -> TreeChange:
    """Return the command that proposes a declared tree.

    Args:
        store: The tree at this instance.
        difference: The difference from the store's tree to the declared one.
        change_id: The operator's id for the change.
        base_revision: The revision that the operator started from.
        operator: The operator that requests the change.
        at_seconds: Wall-clock time for the history.

    Returns:
        A command. If the store isn't at the base revision, it carries no difference
        and can only be answered as a resend, as unchanged or as a conflict.
    """
    is_at_base = base_revision == store.revision
    return TreeChange(
        change_id,
        base_revision,
        operator,
        at_seconds,
        dict(difference.put) if is_at_base else {},
        difference.removed if is_at_base else (),
        digest_bytes(store.digest_after(difference)),
    )
