"""Measures time, longest slice, memory and bytes of the settings tree at three sizes.

Run with ``python -m benchmarks.tree_bench``; ``--output json`` prints one line.
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

CUSTOMER_COUNTS = (16, 2_200, 22_000)
CUSTOMERS_PER_BRANCH = 100
CHANGES = 50
PEER = InstanceRow("e2", 1, "a", InstanceState.READY, 0, 0.0)


def make_text(customers: int, share: int = 1) -> str:
    """Return the text of a tree; a fifth of the customers has a share of its own.

    Args:
        customers: Number of customers.
        share: The share that the other customers inherit.
    """
    lines = ["fleet: {scheduler: leased}", "customers:", f"  share: {share}"]
    lines += ["  limits: {queued_requests: 100}", "  children:"]
    for number in range(customers):
        branch, position = divmod(number, CUSTOMERS_PER_BRANCH)
        if position == 0:
            lines += [f"    branch-{branch:03d}:", "      children:"]
        digest = sha256(str(number).encode()).hexdigest()
        lines.append(f"        customer-{number:05d}:")
        if number % 5 == 0:
            lines.append("          share: 4")
        lines.append(f"          key_digests: [{digest}]")
    return "\n".join(lines) + "\n"


def time_slices(work: Iterable[object]) -> tuple[float, float]:
    """Return the total seconds of sliced work and the seconds of its longest slice."""
    started_at = last = perf_counter()
    longest = 0.0
    for _ in work:
        now = perf_counter()
        longest, last = max(longest, now - last), now
    end = perf_counter()
    return end - started_at, max(longest, end - last)


def recompute_in_slices(replication: TreeReplication) -> Iterable[None]:
    """Recompute the settings in force until they are current, one slice per item."""
    while not replication.in_force.is_current:
        replication.in_force.recompute_slice()
        yield


class Bench:
    """The measurements of one tree size on a replica that is also a router."""

    def __init__(self, customers: int) -> None:
        self.customers = customers
        self.figures: dict[str, float] = {"customers": customers}
        self.replication = TreeReplication("e1", "a", 1, 0.0)
        self.machine = TreeMachine(self._handle_commit)
        self.sent: list[Message] = []
        self.number = 0

    def _handle_commit(self, machine: TreeMachine) -> None:
        outgoing = self.replication.handle_commit(machine.store, True, {"e2": PEER})
        self.sent = [item.message for item in outgoing]

    def record(self, name: str, value: float) -> None:
        """Record a figure."""
        self.figures[name] = value

    def record_duration(self, name: str, work: Callable[[], object]) -> None:
        """Run some work and record its duration in milliseconds."""
        started_at = perf_counter()
        work()
        self.record(name, 1000 * (perf_counter() - started_at))

    def make_change(self, tree: DeclaredTree) -> TreeChange:
        """Return the change from the present tree to another one."""
        self.number += 1
        store = self.replication.store
        return make_tree_change(
            store,
            difference(store.declared, tree),
            change_id=f"c{self.number:06d}",
            base_revision=store.revision,
            operator="bench",
            at_seconds=0.0,
        )

    def apply(self, tree: DeclaredTree) -> int:
        """Apply a tree through state machine and replication.

        Returns:
            The size of the log command in bytes.
        """
        command = encode_change(self.make_change(tree))
        self.machine.apply(self.number, command)
        return len(command)

    def run(self) -> dict[str, float]:
        """Run all measurements and return the figures by name."""
        text = make_text(self.customers)
        total, longest = time_slices(parse_tree_in_slices(text, "bench"))
        self.record("parse_ms", 1000 * total)
        self.record("parse_longest_slice_ms", 1000 * longest)
        tree = parse_tree(text, "bench")
        self.record_duration("first_apply_ms", lambda: self.apply(tree))
        total, longest = time_slices(recompute_in_slices(self.replication))
        self.record("all_settings_ms", 1000 * total)
        self.record("all_settings_longest_slice_ms", 1000 * longest)
        self._measure_one_customer(text)
        self._measure_all_customers()
        self._measure_other_costs(tree)
        return self.figures

    def _measure_one_customer(self, text: str) -> None:
        """Change one customer repeatedly and record the median times."""
        durations: dict[str, list[float]] = {"entry": [], "replica": [], "in_force": []}
        command_bytes = 0
        for number in range(CHANGES):
            changed_tree = make_changed_tree(self.replication, number)
            started_at = perf_counter()
            command = encode_change(self.make_change(changed_tree))
            encoded_at = perf_counter()
            self.machine.apply(self.number, command)
            applied_at = perf_counter()
            while not self.replication.in_force.is_current:
                self.replication.in_force.recompute_slice()
            durations["entry"].append(encoded_at - started_at)
            durations["replica"].append(applied_at - encoded_at)
            durations["in_force"].append(perf_counter() - applied_at)
            command_bytes = len(command)
        for name, times in durations.items():
            times.sort()
            self.record(f"one_change_{name}_ms", 1000 * times[len(times) // 2])
        self.record("one_change_command_bytes", command_bytes)
        self.record("one_change_message_bytes", envelope_bytes(self.sent))

    def _measure_all_customers(self) -> None:
        """Change a share that all customers inherit and record the recomputation."""
        self.apply(parse_tree(make_text(self.customers, share=2), "bench"))
        total, longest = time_slices(recompute_in_slices(self.replication))
        self.record("root_change_ms", 1000 * total)
        self.record("root_change_longest_slice_ms", 1000 * longest)

    def _measure_other_costs(self, tree: DeclaredTree) -> None:
        """Record the costs of a tree snapshot message, of rendering and of memory."""
        answer = self.replication.handle_message(
            "e2", TreeRequest(0, whole=True), {}, 0.0
        )
        message = answer[0].message
        self.record("whole_message_bytes", envelope_bytes([message]))
        receiver = TreeReplication("e2", "a", 1, 0.0)
        self.record_duration(
            "whole_taken_ms", lambda: receiver.handle_message("e1", message, {}, 0.0)
        )
        self.record_duration("render_ms", lambda: render_tree(tree))
        self.record_duration("snapshot_ms", self.machine.snapshot)
        self.record("memory_router_mb", traced_mb(self.customers, replica=False))
        self.record("memory_replica_mb", traced_mb(self.customers, replica=True))


def make_changed_tree(replication: TreeReplication, number: int) -> DeclaredTree:
    """Return the present tree with one customer's share changed."""
    nodes = dict(replication.store.declared.nodes)
    path = "customers/branch-000/customer-00003"
    small = "customers: {children: {a: {share: %d, key_digests: [%s]}}}"
    digest = sha256(b"changed").hexdigest()
    changed = parse_tree(small % (number % 7 + 2, digest), "bench")
    nodes[path] = changed.nodes["customers/a"]
    return DeclaredTree(nodes)


def envelope_bytes(messages: Iterable[Message]) -> int:
    """Return the encoded size of an envelope with some messages."""
    return len(encode_envelope(Envelope("e1", 1, 1, (0, 0), tuple(messages))))


def traced_mb(customers: int, replica: bool) -> float:
    """Return the megabytes that a tree in force occupies, as `tracemalloc` counts.

    Args:
        customers: Number of customers.
        replica: Whether to include the state machine of a replica.
    """
    text = make_text(customers)
    gc.collect()
    start()
    replication = TreeReplication("e1", "a", 1, 0.0)

    def handle_commit(machine: TreeMachine) -> None:
        replication.handle_commit(machine.store, True, {})

    machine = TreeMachine(handle_commit)
    store = replication.store
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
    while not replication.in_force.is_current:
        replication.in_force.recompute_slice()
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
    rows = [Bench(customers).run() for customers in CUSTOMER_COUNTS]
    if arguments.output == "json":
        print(json.dumps(rows))
        return 0
    table = Table(
        "figure", *(f"{customers} customers" for customers in CUSTOMER_COUNTS)
    )
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
