"""Measures the settings tree at three sizes: time, longest slice, memory, bytes.

Run with ``python -m benchmarks.tree_bench``; ``--output json`` for the slopes.
"""

import gc
import json
import sys
from argparse import ArgumentParser
from collections.abc import Callable, Iterable
from hashlib import sha256
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from rich.console import Console
from rich.table import Table

from sesameford.codec import encode_envelope
from sesameford.messages import Envelope, Message, TreeRequest
from sesameford.tables import InstanceRow, InstanceState
from sesameford.tree import DeclaredTree, difference, parse_tree, parse_tree_in_slices
from sesameford.tree_changes import TreeChange, TreeMachine, make_tree_change
from sesameford.tree_changes import encode_command as encode_change
from sesameford.tree_replication import TreeReplication
from sesameford.tree_text import render_tree

SIZES = (16, 2_200, 22_000)
CUSTOMERS_A_BRANCH = 100
CHANGES = 50
PEER = InstanceRow("e2", 1, "a", InstanceState.READY, 0, 0.0)


def make_text(customers: int, share: int = 1) -> str:
    """Return a tree of customers in branches, a fifth of them with a share."""
    lines = ["fleet: {scheduler: leased}", "customers:", f"  share: {share}"]
    lines += ["  limits: {queued_requests: 100}", "  children:"]
    for number in range(customers):
        branch, place = divmod(number, CUSTOMERS_A_BRANCH)
        if place == 0:
            lines += [f"    branch-{branch:03d}:", "      children:"]
        digest = sha256(str(number).encode()).hexdigest()
        lines.append(f"        customer-{number:05d}:")
        if number % 5 == 0:
            lines.append("          share: 4")
        lines.append(f"          key_digests: [{digest}]")
    return "\n".join(lines) + "\n"


def longest_slice(work: Iterable[object]) -> tuple[float, float]:
    """Return the whole and the longest uninterrupted time of sliced work."""
    begin = last = perf_counter()
    longest = 0.0
    for _ in work:
        now = perf_counter()
        longest, last = max(longest, now - last), now
    end = perf_counter()
    return end - begin, max(longest, end - last)


def slices_of(spread: TreeReplication) -> Iterable[None]:
    """Bring settings into force, a slice at a time."""
    while not spread.in_force.is_current:
        spread.in_force.recompute_slice()
        yield


class Bench:
    """One size of tree on a replica that is also a router."""

    def __init__(self, customers: int) -> None:
        self.customers = customers
        self.figures: dict[str, float] = {"customers": customers}
        self.spread = TreeReplication("e1", "a", 1, 0.0)
        self.machine = TreeMachine(self._committed)
        self.sent: list[Message] = []
        self.number = 0

    def _committed(self, machine: TreeMachine) -> None:
        outgoing = self.spread.handle_commit(machine.store, True, {"e2": PEER})
        self.sent = [one.message for one in outgoing]

    def note(self, name: str, value: float) -> None:
        """Keep a figure."""
        self.figures[name] = value

    def timed(self, name: str, work: Callable[[], object]) -> None:
        """Keep how long something takes in one go, in milliseconds."""
        begin = perf_counter()
        work()
        self.note(name, 1000 * (perf_counter() - begin))

    def command(self, tree: DeclaredTree) -> TreeChange:
        """Return the change that declares a tree."""
        self.number += 1
        store = self.spread.store
        return make_tree_change(
            store,
            difference(store.declared, tree),
            change_id=f"c{self.number:06d}",
            base_revision=store.revision,
            operator="bench",
            at_seconds=0.0,
        )

    def apply(self, tree: DeclaredTree) -> int:
        """Take a tree through the machine and the spread; return command bytes."""
        command = encode_change(self.command(tree))
        self.machine.apply(self.number, command)
        return len(command)

    def run(self) -> dict[str, float]:
        """Measure everything."""
        text = make_text(self.customers)
        whole, longest = longest_slice(parse_tree_in_slices(text, "bench"))
        self.note("parse_ms", 1000 * whole)
        self.note("parse_longest_slice_ms", 1000 * longest)
        tree = parse_tree(text, "bench")
        self.timed("first_apply_ms", lambda: self.apply(tree))
        whole, longest = longest_slice(slices_of(self.spread))
        self.note("all_settings_ms", 1000 * whole)
        self.note("all_settings_longest_slice_ms", 1000 * longest)
        self._one_customer(text)
        self._all_customers()
        self._other_costs(tree)
        return self.figures

    def _one_customer(self, text: str) -> None:
        """Change one customer again and again."""
        took: dict[str, list[float]] = {"entry": [], "replica": [], "in_force": []}
        command_bytes = 0
        for number in range(CHANGES):
            wanted = parse_or_edit(self.spread, number)
            begin = perf_counter()
            command = encode_change(self.command(wanted))
            compared = perf_counter()
            self.machine.apply(self.number, command)
            applied = perf_counter()
            while not self.spread.in_force.is_current:
                self.spread.in_force.recompute_slice()
            took["entry"].append(compared - begin)
            took["replica"].append(applied - compared)
            took["in_force"].append(perf_counter() - applied)
            command_bytes = len(command)
        for name, times in took.items():
            times.sort()
            self.note(f"one_change_{name}_ms", 1000 * times[len(times) // 2])
        self.note("one_change_command_bytes", command_bytes)
        self.note("one_change_message_bytes", envelope_bytes(self.sent))

    def _all_customers(self) -> None:
        """Change what all customers inherit."""
        self.apply(parse_tree(make_text(self.customers, share=2), "bench"))
        whole, longest = longest_slice(slices_of(self.spread))
        self.note("root_change_ms", 1000 * whole)
        self.note("root_change_longest_slice_ms", 1000 * longest)

    def _other_costs(self, tree: DeclaredTree) -> None:
        """Measure a whole tree sent and taken, its text, a snapshot, memory."""
        answer = self.spread.handle_message("e2", TreeRequest(0, whole=True), {}, 0.0)
        message = answer[0].message
        self.note("whole_message_bytes", envelope_bytes([message]))
        other = TreeReplication("e2", "a", 1, 0.0)
        self.timed(
            "whole_taken_ms", lambda: other.handle_message("e1", message, {}, 0.0)
        )
        self.timed("render_ms", lambda: render_tree(tree))
        self.timed("snapshot_ms", self.machine.snapshot)
        self.note("memory_router_mb", traced_mb(self.customers, replica=False))
        self.note("memory_replica_mb", traced_mb(self.customers, replica=True))


def parse_or_edit(spread: TreeReplication, number: int) -> DeclaredTree:
    """Return the present tree with one customer's share changed."""
    nodes = dict(spread.store.declared.nodes)
    path = "customers/branch-000/customer-00003"
    small = "customers: {children: {a: {share: %d, key_digests: [%s]}}}"
    digest = sha256(b"changed").hexdigest()
    changed = parse_tree(small % (number % 7 + 2, digest), "bench")
    nodes[path] = changed.nodes["customers/a"]
    return DeclaredTree(nodes)


def envelope_bytes(messages: Iterable[Message]) -> int:
    """Return what messages take on the wire, with their envelope."""
    return len(encode_envelope(Envelope("e1", 1, 1, (0, 0), tuple(messages))))


def traced_mb(customers: int, replica: bool) -> float:
    """Return the memory that a tree in force takes, in megabytes."""
    text = make_text(customers)
    gc.collect()
    start()
    spread = TreeReplication("e1", "a", 1, 0.0)

    def committed(machine: TreeMachine) -> None:
        spread.handle_commit(machine.store, True, {})

    machine = TreeMachine(committed)
    store = spread.store
    tree = parse_tree(text, "bench")
    change = make_tree_change(
        store,
        difference(store.declared, tree),
        change_id="c",
        base_revision=0,
        operator="bench",
        at_seconds=0.0,
    )
    machine.apply(1, encode_change(change))
    while not spread.in_force.is_current:
        spread.in_force.recompute_slice()
    if not replica:
        del machine
    del tree, change, store
    gc.collect()
    used = get_traced_memory()[0]
    stop()
    return used / 1e6


def main() -> int:
    """Print the figures of every size."""
    parser = ArgumentParser(description="Measure the settings tree.")
    parser.add_argument("--output", choices=["table", "json"], default="table")
    arguments = parser.parse_args()
    rows = [Bench(size).run() for size in SIZES]
    if arguments.output == "json":
        print(json.dumps(rows))
        return 0
    table = Table("figure", *(f"{size} customers" for size in SIZES))
    for name in rows[0]:
        table.add_row(
            name,
            *(
                f"{row[name]:,.3g}" if row[name] < 1000 else f"{row[name]:,.0f}"
                for row in rows
            ),
        )
    Console(width=100).print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
