"""The allocator of a data centre: fair-share accounts and grants of slots.

One instance of each data centre is the active allocator. It owns the slots of its
data centre's targets, borrows spare slots from the allocators of other data
centres, and grants slots to its routers. Towards another allocator it acts as a
holder of slots, as a router does towards it. Its state is soft: a successor
rebuilds it from the holders' reports.
"""

from collections.abc import Iterable, Mapping

from sesameford.accounts import Account, OriginTerm
from sesameford.allocator_state import DEBT_QUANTA, AllocatorState, RemoteAllocator
from sesameford.effective import EffectiveTree
from sesameford.grant_answers import collect_grant_answers
from sesameford.links import LEASE_SECONDS, GrantLink, ReportLink
from sesameford.messages import Outgoing
from sesameford.pool_allocation import allocate
from sesameford.remote_reports import collect_remote_reports
from sesameford.slot_messages import PoolReport, ShareReport, SlotGrants
from sesameford.tables import Target

_CHANGED_INTERVAL_SECONDS = 0.01
_UNCHANGED_INTERVAL_SECONDS = 0.05
# An allocation over many waiting customers takes longer, so it runs less often.
_SECONDS_PER_ROW = 5e-5


def allocation_seconds(rows: int) -> float:
    """Return the shortest time between two allocations.

    Args:
        rows: Waiting customers, counted once for each router where they wait.

    Returns:
        Seconds. An allocation over all 2,200 customers that may wait at the target
        size takes some 40 ms; after each change it would occupy whole cores.
    """
    return _CHANGED_INTERVAL_SECONDS + rows * _SECONDS_PER_ROW


class Allocator:
    """Applies reports and grants to a data centre's tables, and allocates slots.

    Args:
        instance_id: The instance that the allocator runs in.
        data_centre: The data centre of that instance.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self.active = False
        self.state = AllocatorState(instance_id, data_centre)
        self._term = 0

    # --- observations ------------------------------------------------------------

    def configure(self, tree: EffectiveTree) -> None:
        """Apply a newer tree."""
        self.state.tree = tree
        for pool in self.state.pools.values():
            pool.times.debt_limit = DEBT_QUANTA * self.state.quantum()

    def observe_targets(
        self,
        targets: Mapping[str, Target],
        pool_of: Mapping[str, str],
        owner_of: Mapping[str, str],
    ) -> None:
        """Replace the tables of targets, pools and owners.

        Args:
            targets: Targets by id.
            pool_of: Pool by resource.
            owner_of: Data centre whose allocator owns a target's slots, by target.
        """
        self.state.targets = targets
        self.state.pool_of = pool_of
        self.state.owner_of = owner_of

    def activate(self, expected: Iterable[str], now_seconds: float) -> None:
        """Start to allocate, with empty tables.

        Args:
            expected: Instances that may hold slots granted by a predecessor.
            now_seconds: The present time.
        """
        self.active = True
        self._reset()
        self.state.activated_at_seconds = now_seconds
        self.state.expected = frozenset(expected)

    def deactivate(self) -> None:
        """Stop allocating; holders of slots report to the next allocator."""
        self.active = False
        self._reset()

    def _reset(self) -> None:
        """Reset all tables except the observed ones, as after a restart."""
        old = self.state
        self.state = AllocatorState(
            old.instance_id,
            old.data_centre,
            old.tree,
            old.targets,
            old.pool_of,
            old.owner_of,
        )

    def observe_remote_allocators(
        self, elected: Mapping[str, str], now_seconds: float
    ) -> None:
        """Update the links to the allocators of other data centres.

        Args:
            elected: Instance id of the present allocator, by data centre.
            now_seconds: The present time.
        """
        remote_allocators = self.state.remote_allocators
        for name in [one for one in remote_allocators if one not in elected]:
            if not remote_allocators[name].link.has_valid_lease(now_seconds):
                del remote_allocators[name]
        for name, receiver_id in elected.items():
            remote = remote_allocators.get(name)
            if remote is None:
                self._open_link(name, receiver_id, {}, now_seconds)
            elif remote.link.receiver_id != receiver_id:
                holdings = dict(remote.link.holdings)
                self._open_link(name, receiver_id, holdings, now_seconds)

    def _open_link(
        self,
        name: str,
        receiver_id: str,
        holdings: dict[str, int],
        now_seconds: float,
    ) -> None:
        """Start a term with another data centre's allocator."""
        self._term += 1
        base = dict(self.state.totals.totals_by_account())
        link = ReportLink(receiver_id, self._term, now_seconds, holdings, base)
        link.requests_full = True
        self.state.remote_allocators[name] = RemoteAllocator(link)

    def seed_virtual_time(self, account: Account, virtual_time: float) -> None:
        """Merge a virtual time that this instance had as a router."""
        pool = self.state.pool(account[0])
        pool.times.merge_snapshot(account[1], virtual_time)

    # --- messages ------------------------------------------------------------------

    def handle_report(
        self,
        sender_id: str,
        incarnation: int,
        report: ShareReport,
        now_seconds: float,
    ) -> None:
        """Apply a report of a router or of another allocator."""
        state = self.state
        term = OriginTerm(incarnation, report.term)
        if not self.active or not state.origins.open_term(sender_id, term):
            return
        link = state.links.get(sender_id)
        if link is None or (link.incarnation, link.term) != (incarnation, report.term):
            link = GrantLink(
                sender_id,
                report.data_centre,
                incarnation,
                report.term,
                now_seconds,
                now_seconds,
            )
            link.requests_full = not report.full
            link.urgent = True
            state.links[sender_id] = link
        if not link.accept_report(report, now_seconds):
            return
        state.changed = True
        link.record_holdings(report)
        for rows in report.pools:
            self._merge_pool_report(link, rows, report.full, now_seconds)
        for completions in report.completion_totals:
            state.record_completions(link, completions, now_seconds)
        for row in report.limit_demands:
            link.limit_demands[row.customer_id] = row.requests_per_second
            if link.is_remote_allocator:
                limit_demands = state.remote_limit_demands.setdefault(
                    link.data_centre, {}
                )
                limit_demands[row.customer_id] = row.requests_per_second

    def _merge_pool_report(
        self, link: GrantLink, rows: PoolReport, full: bool, now_seconds: float
    ) -> None:
        """Apply a report's rows of one pool."""
        state = self.state
        times = state.pool(rows.pool).times
        is_new = now_seconds < state.activated_at_seconds + LEASE_SECONDS
        if full and is_new:
            for row in rows.virtual_times:
                times.merge_snapshot(row.customer_id, row.virtual_time)
        for served in rows.served:
            account = (rows.pool, served.customer_id)
            total = served.served_cost_units
            added = state.origins.merge_total(link.holder_id, account, total)
            times.charge(served.customer_id, added, state.share(served.customer_id))
            if not link.is_remote_allocator:
                state.totals.add(account, added)
        if link.is_remote_allocator and not full and rows.virtual_times:
            times.converge_towards(self._add_uncounted_service(link, rows))
        if link.is_remote_allocator:
            link.remote_slots[rows.pool] = rows.slots
        link.record_demands(rows.pool, rows.demands, now_seconds)

    def _add_uncounted_service(
        self, link: GrantLink, rows: PoolReport
    ) -> dict[str, float]:
        """Return another allocator's virtual times plus service not yet counted there.

        When it sent them, reports of this data centre's latest service had not yet
        reached it.
        """
        state = self.state
        remote = state.remote_allocators.get(link.data_centre)
        if remote is None or remote.link.receiver_id != link.holder_id:
            return {}
        virtual_times = {}
        for row in rows.virtual_times:
            account = (rows.pool, row.customer_id)
            total = state.totals.total(account)
            since = remote.link.total_since_base(account, total)
            uncounted = (since - row.counted_cost_units) / state.share(row.customer_id)
            virtual_times[row.customer_id] = row.virtual_time + uncounted
        return virtual_times

    def handle_grants(
        self, sender_id: str, incarnation: int, grants: SlotGrants, now_seconds: float
    ) -> bool:
        """Apply another allocator's answer.

        Returns:
            False if no link leads to the sender, so that the answer is for the
            router of this instance.
        """
        for name, remote in self.state.remote_allocators.items():
            link = remote.link
            if link.receiver_id != sender_id:
                continue
            previous = link.receiver_incarnation
            if previous is not None and incarnation > previous:
                # It restarted with empty tables. A new term starts with a full report.
                self._open_link(name, sender_id, {}, now_seconds)
            elif link.apply_grants(grants, incarnation, now_seconds):
                self.state.changed = True
                for update in grants.pools:
                    remote.pool_updates[update.pool] = update
            return True
        return False

    # --- the tick --------------------------------------------------------------------

    def tick(self, now_seconds: float) -> list[Outgoing]:
        """Allocate slots if an allocation is due and return the due messages."""
        state = self.state
        if not self.active or not self._is_due(now_seconds):
            return []
        silent = [link for link in state.links.values() if link.is_silent(now_seconds)]
        for link in silent:
            del state.links[link.holder_id]
        state.changed = False
        state.allocated_at_seconds = now_seconds
        allocate(state, now_seconds)
        reports = collect_remote_reports(state, (), now_seconds)
        joined = [message.receiver_id for message in reports if message.receiver_id]
        answers = collect_grant_answers(state, joined, now_seconds)
        joined = [message.receiver_id for message in answers if message.receiver_id]
        if joined:
            reports.extend(collect_remote_reports(state, joined, now_seconds))
        return [*reports, *answers]

    def _is_due(self, now_seconds: float) -> bool:
        """Return whether the next allocation is due, after a change or without one."""
        state = self.state
        elapsed = now_seconds - state.allocated_at_seconds
        if state.changed or any(link.urgent for link in state.links.values()):
            rows = sum(len(link.demands) for link in state.links.values())
            return elapsed >= allocation_seconds(rows)
        return elapsed >= _UNCHANGED_INTERVAL_SECONDS
