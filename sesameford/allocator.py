"""The allocator of a data centre: fair-share accounts and grants of slots.

One instance of each data centre is active; its state is soft. It owns the slots
of its data centre's targets, borrows from the allocators of others what they
can spare, and grants slots to its routers. Towards another allocator it is a
holder as a router is towards it.
"""

from collections.abc import Iterable, Mapping

from sesameford.accounts import Account, OriginTerm
from sesameford.allocator_state import DEBT_QUANTA, AllocatorState, RemoteAllocator
from sesameford.effective import EffectiveTree
from sesameford.grant_answers import grant_answers
from sesameford.links import LEASE_SECONDS, GrantLink, ReportLink
from sesameford.messages import Outgoing
from sesameford.pool_allocation import allocate
from sesameford.remote_reports import place_reports
from sesameford.slot_messages import PoolReport, ShareReport, SlotGrants
from sesameford.tables import Target

_CHANGED_SECONDS = 0.01
_UNCHANGED_SECONDS = 0.05
# An allocation over many waiting customers takes longer, so it is made less often.
_ROW_SECONDS = 5e-5


def allocation_seconds(rows: int) -> float:
    """Return how long after an allocation the next one may be made.

    Args:
        rows: Customers that wait, counted at each router where they do.

    Returns:
        Seconds. An allocation over all 2,200 customers that may wait at the target
        size takes some 40 ms; made at each change it would take whole cores.
    """
    return _CHANGED_SECONDS + rows * _ROW_SECONDS


class Allocator:
    """Drives the systems over the tables of a data centre's allocator.

    Args:
        instance_id: The instance it runs in.
        data_centre: Where that stands.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self.active = False
        self.state = AllocatorState(instance_id, data_centre)
        self._term = 0

    # --- what is observed --------------------------------------------------------

    def configure(self, tree: EffectiveTree) -> None:
        """Take a newer tree into force."""
        self.state.tree = tree
        for pool in self.state.pools.values():
            pool.times.debt_limit = DEBT_QUANTA * self.state.quantum()

    def observe_targets(
        self,
        targets: Mapping[str, Target],
        pool_of: Mapping[str, str],
        owner_of: Mapping[str, str],
    ) -> None:
        """Take the targets, the pools of resources and who owns which target."""
        self.state.targets = targets
        self.state.pool_of = pool_of
        self.state.owner_of = owner_of

    def activate(self, expected: Iterable[str], now_seconds: float) -> None:
        """Begin to serve.

        Args:
            expected: Instances that may hold slots from a predecessor.
            now_seconds: The present time.
        """
        self.active = True
        self._reset()
        self.state.activated_at_seconds = now_seconds
        self.state.expected = frozenset(expected)

    def deactivate(self) -> None:
        """Stop; whoever holds slots of this allocator turns to the next one."""
        self.active = False
        self._reset()

    def _reset(self) -> None:
        """Forget all but what is observed, as a fresh process has."""
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
        """Take the present allocators of the other data centres."""
        places = self.state.places
        for name in [known for known in places if known not in elected]:
            if not places[name].link.has_valid_lease(now_seconds):
                del places[name]
        for name, receiver_id in elected.items():
            known = places.get(name)
            if known is None:
                self._open_place(name, receiver_id, {}, now_seconds)
            elif known.link.receiver_id != receiver_id:
                held = dict(known.link.holdings)
                self._open_place(name, receiver_id, held, now_seconds)

    def _open_place(
        self,
        name: str,
        receiver_id: str,
        holdings: dict[str, int],
        now_seconds: float,
    ) -> None:
        """Start a term with a data centre's allocator."""
        self._term += 1
        base = dict(self.state.totals.totals_by_account())
        link = ReportLink(receiver_id, self._term, now_seconds, holdings, base)
        link.requests_full = True
        self.state.places[name] = RemoteAllocator(link)

    def seed_virtual_time(self, account: Account, virtual_time: float) -> None:
        """Take a virtual time that this instance knew as a router."""
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
        """Take a router's or another allocator's report."""
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
        if not link.accept(report, now_seconds):
            return
        state.changed = True
        link.take_holdings(report)
        for rows in report.pools:
            self._take_pool(link, rows, report.full, now_seconds)
        for pace in report.paces:
            state.take_pace(link, pace, now_seconds)
        for row in report.wanted:
            link.wanted[row.customer_id] = row.requests_per_second
            if link.is_place:
                wanted = state.place_wanted.setdefault(link.data_centre, {})
                wanted[row.customer_id] = row.requests_per_second

    def _take_pool(
        self, link: GrantLink, rows: PoolReport, full: bool, now_seconds: float
    ) -> None:
        """Take a report's rows of one pool."""
        state = self.state
        times = state.pool(rows.pool).times
        new = now_seconds < state.activated_at_seconds + LEASE_SECONDS
        if full and new:
            for standing in rows.virtual_times:
                times.merge_snapshot(standing.customer_id, standing.virtual_time)
        for served in rows.served:
            account = (rows.pool, served.customer_id)
            total = served.served_cost_units
            added = state.origins.merge_total(link.holder_id, account, total)
            times.charge(served.customer_id, added, state.share(served.customer_id))
            if not link.is_place:
                state.totals.add(account, added)
        if link.is_place and not full and rows.virtual_times:
            times.converge_towards(self._with_own_service(link, rows))
        if link.is_place:
            link.place_slots[rows.pool] = rows.slots
        link.take_demands(rows.pool, rows.demands, now_seconds)

    def _with_own_service(self, link: GrantLink, rows: PoolReport) -> dict[str, float]:
        """Return another allocator's virtual times with what it had not counted yet.

        It had not heard of this data centre's latest service when it sent them.
        """
        state = self.state
        place = state.places.get(link.data_centre)
        if place is None or place.link.receiver_id != link.holder_id:
            return {}
        virtual_times = {}
        for row in rows.virtual_times:
            account = (rows.pool, row.customer_id)
            total = state.totals.total(account)
            since = place.link.total_since_base(account, total)
            uncounted = (since - row.counted_cost_units) / state.share(row.customer_id)
            virtual_times[row.customer_id] = row.virtual_time + uncounted
        return virtual_times

    def handle_grants(
        self, sender_id: str, incarnation: int, grants: SlotGrants, now_seconds: float
    ) -> bool:
        """Take another allocator's answer; False if it is for the router here."""
        for name, place in self.state.places.items():
            link = place.link
            if link.receiver_id != sender_id:
                continue
            known = link.receiver_incarnation
            if known is not None and incarnation > known:
                # It restarted and knows nothing; start a term to tell it all.
                self._open_place(name, sender_id, {}, now_seconds)
            elif link.apply_grants(grants, incarnation, now_seconds):
                self.state.changed = True
                for news in grants.pools:
                    place.news[news.pool] = news
            return True
        return False

    # --- the tick --------------------------------------------------------------------

    def tick(self, now_seconds: float) -> list[Outgoing]:
        """Allocate what is free and return the messages that are due."""
        state = self.state
        if not self.active or not self._is_due(now_seconds):
            return []
        silent = [link for link in state.links.values() if link.is_silent(now_seconds)]
        for link in silent:
            del state.links[link.holder_id]
        state.changed = False
        state.allocated_at_seconds = now_seconds
        allocate(state, now_seconds)
        reports = place_reports(state, (), now_seconds)
        joined = [one.receiver_id for one in reports if one.receiver_id]
        answers = grant_answers(state, joined, now_seconds)
        joined = [one.receiver_id for one in answers if one.receiver_id]
        if joined:
            reports.extend(place_reports(state, joined, now_seconds))
        return [*reports, *answers]

    def _is_due(self, now_seconds: float) -> bool:
        """Return whether something changed, or waits for a batch or a heartbeat."""
        state = self.state
        elapsed = now_seconds - state.allocated_at_seconds
        if state.changed or any(link.urgent for link in state.links.values()):
            rows = sum(len(link.demands) for link in state.links.values())
            return elapsed >= allocation_seconds(rows)
        return elapsed >= _UNCHANGED_SECONDS
