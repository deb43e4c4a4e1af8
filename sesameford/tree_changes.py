"""The state machine that accepts changes of the settings tree, one at a time.

A command carries the difference from the tree at its base revision, not the whole
tree: the instance that took the change has parsed and checked it, so the replicas
neither parse 22,000 customers nor store them for each change. The digest of the
resulting tree proves that the difference met the tree that it was made for.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from sesameford.tree import (
    DATA_CENTRES,
    DeclaredTree,
    TreeDifference,
    data_centre_nodes,
    data_centre_path,
    difference,
    is_evacuated,
    joined_nodes,
    tree_digest,
)
from sesameford.tree_store import TreeStep, TreeStore

MACHINE_NAME = "tree"

# A week of changes at the target size. An older change sent again is answered as a
# conflict; it can't be accepted twice, since its base revision is long past.
KEPT_ACCEPTED = 5000
KEPT_REFUSED = 1000
HISTORY_PATHS = 5
HISTORY_PAGE = 500

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
    """Read the history below a revision through the log; it changes nothing."""

    before_revision: int


class TreeDeclaration(Struct, frozen=True, tag=True):
    """All of some roots as a declarer outside wants them, under its own version.

    The highest version wins. ``nodes`` replaces everything under ``roots``; the
    fields of ``fleet`` are put beside those that others have set there. ``text`` is
    the declarer's own document, which it may read back.
    """

    declarer: str
    version: int
    at_seconds: float
    roots: tuple[str, ...]
    nodes: dict[str, bytes]
    text: bytes


class EvacuationOrder(Struct, frozen=True, tag=True):
    """Evacuate a data centre, or restore it.

    ``base_revision`` is the newest one that the instance knew which took the order. If
    the data centre was evacuated or restored since, the order has been overtaken.
    ``order_id`` is empty where the operator gives orders no id.
    """

    order_id: str
    data_centre: str
    evacuated: bool
    base_revision: int
    operator: str
    at_seconds: float


class DeclaredVersionQuery(Struct, frozen=True, tag="DeclaredWanted"):
    """Agree on which version is the newest accepted one; it changes nothing."""


class ChangeAnswer(Struct, frozen=True):
    """What became of a change; ``revision`` is the present one at that moment.

    ``version`` is that of the newest accepted declaration, 0 while there is none.
    """

    status: str
    revision: int
    detail: str = ""
    version: int = 0


class HistoryEntry(Struct, frozen=True):
    """An accepted change: who made it and the first few paths that it touched."""

    revision: int
    change_id: str
    operator: str
    at_seconds: float
    paths: tuple[str, ...]
    path_count: int


class _Recorded(Struct, frozen=True, array_like=True):
    """An answer kept for resends, with the digest that it was given for."""

    change_id: str
    digest: bytes
    answer: ChangeAnswer


class _Snapshot(Struct, frozen=True):
    """All state of the machine."""

    revision: int
    nodes: dict[str, bytes]
    history: tuple[HistoryEntry, ...]
    answered: tuple[_Recorded, ...]
    turned_down: tuple[_Recorded, ...]
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
    """Return a command as the log carries it."""
    return _encoder.encode(command)


def decode_answer(encoded: bytes) -> ChangeAnswer:
    """Return the machine's answer to a change."""
    return _answers.decode(encoded)


def decode_history(encoded: bytes) -> Sequence[HistoryEntry]:
    """Return the machine's answer to a wanted history, newest first."""
    return _histories.decode(encoded)


def digest_bytes(digest: int) -> bytes:
    """Return a tree's digest as commands carry it."""
    return digest.to_bytes(16, "big")


class TreeMachine:
    """The accepted tree, its history and the answers given.

    Args:
        committed: Called with this machine after each accepted change and after
            a snapshot was restored.
    """

    name = MACHINE_NAME

    def __init__(self, committed: Callable[["TreeMachine"], None]) -> None:
        self._committed = committed
        self._history: OrderedDict[int, HistoryEntry] = OrderedDict()
        self._answered: OrderedDict[str, _Recorded] = OrderedDict()
        self._turned_down: OrderedDict[str, _Recorded] = OrderedDict()
        self.store = TreeStore()
        self.declared_version = 0
        self.declared_text = b""
        # The revision at which each data centre was evacuated or restored last.
        self._evacuation_revisions: dict[str, int] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the answer for its proposer.

        Args:
            index: The command's place in the log.
            command: One of the five commands; anything else is refused.

        Returns:
            A coded ``ChangeAnswer``, or the history.
        """
        try:
            decoded = _commands.decode(command)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            return _encoder.encode(self._answer(REFUSED, f"malformed: {error}"))
        if isinstance(decoded, HistoryQuery):
            return _encoder.encode(self.history(decoded.before_revision))
        if isinstance(decoded, DeclaredVersionQuery):
            return _encoder.encode(self._answer(UNCHANGED))
        if isinstance(decoded, TreeDeclaration):
            return _encoder.encode(self._declare(decoded))
        if isinstance(decoded, EvacuationOrder):
            return _encoder.encode(self._evacuate(decoded))
        return _encoder.encode(self._change(decoded))

    def history(self, before_revision: int) -> tuple[HistoryEntry, ...]:
        """Return accepted changes below a revision, newest first, one page."""
        found = []
        for revision in reversed(self._history):
            if revision < before_revision:
                found.append(self._history[revision])
            if len(found) == HISTORY_PAGE:
                break
        return tuple(found)

    def snapshot(self) -> bytes:
        """Return the whole state, with the tables that recognise resends."""
        return _encoder.encode(
            _Snapshot(
                self.store.revision,
                dict(self.store.declared.nodes),
                tuple(self._history.values()),
                tuple(self._answered.values()),
                tuple(self._turned_down.values()),
                self.declared_version,
                self.declared_text,
                self._evacuation_revisions,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        decoded = _snapshots.decode(snapshot)
        self.store.replace(decoded.revision, decoded.nodes, tree_digest(decoded.nodes))
        self._history = OrderedDict((one.revision, one) for one in decoded.history)
        self._answered = _by_change_id(decoded.answered)
        self._turned_down = _by_change_id(decoded.turned_down)
        self.declared_version = decoded.declared_version
        self.declared_text = decoded.declared_text
        self._evacuation_revisions = dict(decoded.evacuation_revisions)
        self._committed(self)

    def _answer(self, status: str, detail: str = "") -> ChangeAnswer:
        return ChangeAnswer(status, self.store.revision, detail, self.declared_version)

    def _declare(self, declaration: TreeDeclaration) -> ChangeAnswer:
        """Take a declaration whose version is the highest so far.

        One that comes again, or late, is acknowledged like the first time: its
        declarer only wants to know that the fleet has this version or a newer one.
        """
        if declaration.version <= self.declared_version:
            return self._answer(UNCHANGED)
        self.declared_version = declaration.version
        self.declared_text = declaration.text
        nodes = _with_declared(self.store.declared.nodes, declaration)
        found = difference(self.store.declared, DeclaredTree(nodes))
        if found.is_empty():
            return self._answer(ACCEPTED)
        self._step(found)
        self._note(
            f"{declaration.declarer}/{declaration.version}",
            declaration.declarer,
            declaration.at_seconds,
            found,
        )
        self._committed(self)
        return self._answer(ACCEPTED)

    def _evacuate(self, order: EvacuationOrder) -> ChangeAnswer:
        """Evacuate a data centre, or restore it.

        An order that comes again finds what it wants in force. One that waited on its
        way while its opposite was accepted would undo a newer wish, and is told so.
        """
        recorded = self._recorded(order.order_id)
        if recorded is not None:
            if recorded.digest != _order_digest(order):
                return self._answer(REFUSED, "this id was used for another change")
            return recorded.answer
        answer = self._decide_order(order)
        if order.order_id and answer.status != CONFLICT:
            table, limit = self._turned_down, KEPT_REFUSED
            if answer.status == ACCEPTED:
                table, limit = self._answered, KEPT_ACCEPTED
            record = _Recorded(order.order_id, _order_digest(order), answer)
            _keep(table, record, limit)
        if answer.status == ACCEPTED:
            self._committed(self)
        return answer

    def _decide_order(self, order: EvacuationOrder) -> ChangeAnswer:
        """Take an order into force unless it is already, or was overtaken."""
        nodes = self.store.declared.nodes
        if is_evacuated(nodes, order.data_centre) == order.evacuated:
            return self._answer(UNCHANGED)
        newest = self._evacuation_revisions.get(order.data_centre, 0)
        if newest > order.base_revision:
            return self._answer(CONFLICT)
        put = data_centre_nodes(nodes, order.data_centre, order.evacuated)
        found = TreeDifference(put, ())
        self._step(found)
        shown = TreeDifference({data_centre_path(order.data_centre): b""}, ())
        change_id = order.order_id or ("evacuate" if order.evacuated else "restore")
        self._note(change_id, order.operator, order.at_seconds, shown)
        return self._answer(ACCEPTED)

    def _recorded(self, change_id: str) -> _Recorded | None:
        """Return what was answered under an id before, if it is still kept."""
        return self._answered.get(change_id) or self._turned_down.get(change_id)

    def _step(self, found: TreeDifference) -> None:
        """Go one revision on by a difference that was worked out here."""
        revision = self.store.revision + 1
        self.store.step(TreeStep(revision, found, self.store.would_be(found)))

    def _change(self, change: TreeChange) -> ChangeAnswer:
        """Accept or turn down a change, once for each change id."""
        # An operator whose answer was lost sends the change again. Taken as new, it
        # would be told of a conflict with itself; the first answer is the truth.
        recorded = self._recorded(change.change_id)
        if recorded is not None:
            if recorded.digest != change.digest:
                return self._answer(REFUSED, "this change id was used for another tree")
            return recorded.answer
        answer = self._decide(change)
        if answer.status == ACCEPTED:
            _record(self._answered, change, answer, KEPT_ACCEPTED)
            self._committed(self)
        elif answer.status != BEHIND:
            _record(self._turned_down, change, answer, KEPT_REFUSED)
        return answer

    def _decide(self, change: TreeChange) -> ChangeAnswer:
        """Take a change into force where it fits the present tree."""
        if change.digest == digest_bytes(self.store.digest):
            return self._answer(UNCHANGED)
        if change.base_revision != self.store.revision:
            return self._answer(CONFLICT)
        step = TreeStep(
            self.store.revision + 1,
            TreeDifference(change.put, change.removed),
            int.from_bytes(change.digest, "big"),
        )
        # The instance that took the change had not heard of the base revision yet.
        # This says nothing about the change, so it is not kept as its answer.
        if not self.store.step(step):
            return self._answer(BEHIND, "the difference does not fit the tree")
        self._note(
            change.change_id, change.operator, change.at_seconds, step.difference
        )
        return self._answer(ACCEPTED)

    def _note(
        self, change_id: str, operator: str, at_seconds: float, done: TreeDifference
    ) -> None:
        """Put an accepted change into the history, and note whom it evacuates."""
        paths = sorted({*done.put, *done.removed})
        for path in paths:
            root, _, name = path.partition("/")
            if root == DATA_CENTRES and name:
                self._evacuation_revisions[name] = self.store.revision
        self._history[self.store.revision] = HistoryEntry(
            self.store.revision,
            change_id,
            operator,
            at_seconds,
            tuple(paths[:HISTORY_PATHS]),
            len(paths),
        )
        if len(self._history) > KEPT_ACCEPTED:
            self._history.popitem(last=False)


def _with_declared(
    present: Mapping[str, bytes], declaration: TreeDeclaration
) -> dict[str, bytes]:
    """Return the nodes as they are once a declaration is taken over."""
    nodes = {
        path: encoded
        for path, encoded in present.items()
        if path.partition("/")[0] not in declaration.roots
    }
    nodes.update(declaration.nodes)
    if "fleet" in declaration.nodes and "fleet" in present:
        nodes["fleet"] = joined_nodes(present["fleet"], declaration.nodes["fleet"])
    return nodes


def _record(
    table: OrderedDict[str, _Recorded],
    change: TreeChange,
    answer: ChangeAnswer,
    limit: int,
) -> None:
    """Keep an answer for resends, dropping the oldest beyond the limit."""
    _keep(table, _Recorded(change.change_id, change.digest, answer), limit)


def _keep(table: OrderedDict[str, _Recorded], record: _Recorded, limit: int) -> None:
    """Keep one answer more, dropping the oldest beyond the limit."""
    table[record.change_id] = record
    if len(table) > limit:
        table.popitem(last=False)


def _order_digest(order: EvacuationOrder) -> bytes:
    """Return what tells an order from others under the same id."""
    return f"{order.data_centre}/{order.evacuated}".encode()


def _by_change_id(records: Sequence[_Recorded]) -> OrderedDict[str, _Recorded]:
    """Return kept answers by their change id, oldest first."""
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
    """Return the command for a declared tree, as seen from a store.

    Args:
        store: The tree that this instance holds.
        difference: What turns the store's tree into the declared one.
        change_id: The operator's id of the change.
        base_revision: The revision that the operator started from.
        operator: Who asks for it.
        at_seconds: Wall-clock time for the history.

    Returns:
        A command. Where the store is not at the base revision it carries no
        difference: it can then only be recognised as a resend, found to be in
        force already, or told of the conflict.
    """
    fits = base_revision == store.revision
    return TreeChange(
        change_id,
        base_revision,
        operator,
        at_seconds,
        dict(difference.put) if fits else {},
        difference.removed if fits else (),
        digest_bytes(store.would_be(difference)),
    )
