"""The scheduler that runs requests on leased slots, fair over the whole fleet.

A router starts requests on the slots that it holds without asking the allocator
first, and serves the waiting customer with the smallest virtual time. It returns a
slot when other customers of the fleet are behind by more than the quantum.
"""

from collections.abc import Mapping, Sequence

from sesameford.accounts import Account
from sesameford.admission import check_admission
from sesameford.affinity import Affinity
from sesameford.allocator import Allocator
from sesameford.attempts import RunningAttempt
from sesameford.costs import cost_of_usage
from sesameford.effective import CustomerSettings, EffectiveTree
from sesameford.election import Election
from sesameford.estimates import Estimates
from sesameford.links import (
    LEASE_SECONDS,
    SUSPECT_SECONDS,
    ReportLink,
)
from sesameford.messages import Message, Outgoing
from sesameford.pools import find_pools
from sesameford.queues import QueueKey, WaitingRequest
from sesameford.router_reports import make_router_report
from sesameford.router_state import RouterState
from sesameford.scheduling import Scheduler
from sesameford.slot_messages import ShareReport, SlotGrants
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage
from sesameford.windows import CompletionTotals

_ELECTION_CHECK_SECONDS = 0.1
# Both bound the time of a call where this instance is its own allocator: each report
# can then lead to grants, and the grants to another report.
_MAX_EXCHANGE_ROUNDS = 4
_MAX_DECISION_ROUNDS = 3
# What a lost attempt is charged, as a part of what its slot could have served: ten
# rivals of a customer whose attempts are all lost keep nine tenths, and one that loses
# three fifths still gets half of what they get.
LOST_CHARGED_PART = 0.5


class LeasedScheduler:
    """A router's queues, slots and running attempts.

    Args:
        instance_id: This instance.
        incarnation: Grows with each start of the process.
        data_centre: Data centre of this instance.
        is_hub: Whether this instance relays messages for its data centre.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        data_centre: str,
        is_hub: bool = False,
    ) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._state = RouterState()
        self._resources_by_target: dict[str, tuple[str, ...]] = {}
        self._election = Election(instance_id, data_centre, incarnation, is_hub)
        self._allocator = Allocator(instance_id, data_centre)
        self._affinity = Affinity()
        self._estimates = Estimates()
        self._attempt_count = 0
        self._term = 0
        self._link: ReportLink | None = None
        self._is_scheduled = False
        self._election_checked_at_seconds = float("-inf")
        self._outgoing: list[Outgoing] = []

    # --- observed tables -------------------------------------------------------

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Apply a newer tree."""
        self._state.tree = tree
        self._state.limits.configure(
            {name: customer.limits for name, customer in tree.customers.items()}
        )
        self._allocator.configure(tree)
        self._is_scheduled = False

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """Replace the table of targets that may get new work."""
        for target_id, previous in self._state.targets.items():
            present = targets.get(target_id)
            if present is None or present.incarnation != previous.incarnation:
                self._affinity.forget_target(target_id)
                self._state.completion_totals.pop(target_id, None)
        resources = {target.target_id: target.serves for target in targets.values()}
        if resources != self._resources_by_target:
            self._resources_by_target = resources
            self._state.pool_of = find_pools(targets.values())
        self._state.targets = dict(targets)
        self._is_scheduled = False
        self._follow_election(now_seconds)

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """Replace the table of other instances."""
        self._election.observe(dict(instances))
        self._state.limits.set_default_fraction(1.0 / (len(instances) + 1))
        self._follow_election(now_seconds)

    def _follow_election(self, now_seconds: float) -> None:
        """Follow the election: become the allocator, or report to the elected one."""
        self._election_checked_at_seconds = now_seconds
        own = self._state.tree.instances.get(self._instance_id)
        may_serve = own is None or not own.drain
        link = self._link
        if link is not None and link.receiver_id != self._instance_id:
            # The allocator is replaced while the lease still runs, so that the next
            # one serves before the lease ends and this router never lacks slots.
            left_seconds = link.lease_expires_at_seconds - now_seconds
            is_old = now_seconds - link.opened_at_seconds > LEASE_SECONDS
            if left_seconds < SUSPECT_SECONDS and is_old:
                self._election.exclude_unresponsive(
                    link.receiver_id, link.receiver_incarnation, now_seconds
                )
        elected = self._election.allocator(may_serve, now_seconds)
        others = self._election.remote_allocators(now_seconds)
        serves = elected == self._instance_id
        if serves and not self._allocator.active:
            expected = [
                *self._election.live_local_instances(now_seconds),
                *others.values(),
                self._instance_id,
            ]
            self._allocator.activate(expected, now_seconds)
            for account in self._state.virtual_times.accounts():
                self._allocator.seed_virtual_time(account, self._virtual_time(account))
        elif not serves and self._allocator.active:
            self._allocator.deactivate()
        if self._allocator.active:
            self._allocator.observe_remote_allocators(others, now_seconds)
        owners = self._election.allocating_data_centres(
            self._state.targets.values(), now_seconds
        )
        self._allocator.observe_targets(
            self._state.targets, self._state.pool_of, owners
        )
        if elected is not None and (link is None or link.receiver_id != elected):
            self._open_link(elected, now_seconds)

    def _open_link(self, receiver_id: str, now_seconds: float) -> None:
        """Start a term with an allocator, carrying over the slots held."""
        old = self._link
        self._term += 1
        link = ReportLink(receiver_id, self._term, now_seconds)
        if old is not None:
            link.holdings = (
                dict(old.holdings) if old.has_valid_lease(now_seconds) else {}
            )
            link.lease_expires_at_seconds = old.lease_expires_at_seconds
            for account in self._state.totals.totals_by_account():
                reported = old.reported_served.get(account, 0.0)
                link.base[account] = old.base.get(account, 0.0) + reported
                share = self._allocator.state.share(account[1])
                self._state.virtual_times.start_term(account, reported, share)
        self._state.reported_demand_rates = {}
        self._link = link

    # --- requests ------------------------------------------------------------------

    def submit(self, request: Request, now_seconds: float) -> None:
        """Queue a request.

        Raises:
            NotRunError: A limit of its customer or of the router is reached.
        """
        customer = request.customer_id
        check_admission(
            request,
            self._state.tree.customers.get(customer) or CustomerSettings(customer),
            self._state.tree.fleet.queued_limit_bytes,
            self._state.queues,
            self._state.attempts.retry_after_seconds(customer, now_seconds),
        )
        self._state.limits.admit(customer, now_seconds)
        estimate = self._estimates.estimate(request, self._state.tree)
        account = self._account(request)
        share = self._allocator.state.share(customer)
        self._state.virtual_times.raise_to_floor(
            account, self._served_cost_units(account), share, now_seconds
        )
        self._state.queues.add(WaitingRequest(request, estimate))
        self._is_scheduled = False

    def _account(self, request: Request) -> Account:
        """Return the account that a request is charged to."""
        pool = self._state.pool_of.get(request.resource, request.resource)
        return pool, request.customer_id

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """Remove a waiting request; False if it no longer waits here."""
        return self._state.queues.remove(request_id) is not None

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """Remove and return the waiting requests whose deadline has passed."""
        return self._state.queues.remove_expired(now_seconds)

    def waiting_requests(self) -> int:
        """Return how many requests wait here."""
        return len(self._state.queues)

    def running_attempts(self) -> int:
        """Return how many attempts of this router are running."""
        return len(self._state.attempts)

    # --- deciding --------------------------------------------------------------

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """Return the attempts to start now; each counts as in flight at once."""
        attempts: list[Attempt] = []
        for _ in range(_MAX_DECISION_ROUNDS):
            # The allocator may be this instance. It can then grant a slot that was
            # returned in this call again at once, for other work.
            self._exchange_messages(now_seconds)
            started = self._start_fitting(now_seconds)
            attempts.extend(started)
            if self._is_scheduled and not started:
                break
            self._is_scheduled = True
        for customer, resource in self._state.queues.queue_keys():
            pool = self._state.pool_of.get(resource, resource)
            self._state.virtual_times.mark_waiting((pool, customer), now_seconds)
        return attempts

    def _start_fitting(self, now_seconds: float) -> list[Attempt]:
        """Start waiting requests until no free slot fits one."""
        attempts: list[Attempt] = []
        if self._link is None or not len(self._state.queues):
            return []
        free = self._state.free_slots(self._link, now_seconds)
        if free:
            while (attempt := self._start_next(free, now_seconds)) is not None:
                attempts.append(attempt)
        return attempts

    def _start_next(self, free: dict[str, int], now_seconds: float) -> Attempt | None:
        """Start the next request that fits a free slot.

        Returns:
            The attempt of the customer with the smallest virtual time, or None.
        """
        best: QueueKey | None = None
        best_time = 0.0
        for key in self._state.queues.queue_keys():
            if not any(key[1] in self._state.targets[name].serves for name in free):
                continue
            if not self._state.limits.may_start(key[0], now_seconds):
                continue
            account = (self._state.pool_of.get(key[1], key[1]), key[0])
            virtual_time = self._virtual_time(account)
            if best is None or virtual_time < best_time:
                best, best_time = key, virtual_time
        if best is None:
            return None
        return self._start_head(best, free, now_seconds)

    def _start_head(
        self, key: QueueKey, free: dict[str, int], now_seconds: float
    ) -> Attempt:
        """Start the head of a queue on a free slot."""
        head = self._state.queues.head(key)
        assert head is not None
        request = head.request
        serving = [name for name in free if key[1] in self._state.targets[name].serves]
        target_id = self._affinity.choose_target(
            request, free, serving, head.avoid_target_id
        )
        self._affinity.record_sent(request, target_id)
        self._state.queues.remove(request.request_id)
        free[target_id] -= 1
        if free[target_id] == 0:
            del free[target_id]
        self._attempt_count += 1
        attempt = Attempt(
            f"{self._instance_id}-{self._incarnation}-{self._attempt_count}",
            request.request_id,
            request.customer_id,
            target_id,
            self._state.targets[target_id].incarnation,
            now_seconds,
            head.estimated_cost_units,
        )
        account = self._account(request)
        row = RunningAttempt(attempt, request, account, head.estimated_cost_units)
        self._state.attempts.start(row, now_seconds)
        self._state.totals.add(account, head.estimated_cost_units)
        self._state.limits.record_start(key[0], head.estimated_cost_units, now_seconds)
        return attempt

    def _served_cost_units(self, account: Account) -> float:
        """Return the cost units served by this router since the term started."""
        total = self._state.totals.total(account)
        return self._link.total_since_base(account, total) if self._link else total

    def _virtual_time(self, account: Account) -> float:
        """Return a customer's virtual time, with this router's unreported service."""
        share = self._allocator.state.share(account[1])
        return self._state.virtual_times.virtual_time(
            account, self._served_cost_units(account), share
        )

    # --- running attempts --------------------------------------------------------

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """Charge the usage so far of a running attempt; optional for the caller."""
        row = self._state.attempts.get(attempt_id)
        if row is not None:
            used = cost_of_usage(self._state.tree, row.request, usage)
            if used > row.charged_cost_units:
                self._charge_usage(row, used, now_seconds)

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """End an attempt and charge its usage."""
        row = self._end_attempt(attempt_id)
        if row is None:
            return
        used = cost_of_usage(self._state.tree, row.request, usage)
        self._charge_usage(row, used, now_seconds)
        if outcome is not Outcome.RAN:
            self._charge_lost(row, now_seconds)
        else:
            self._estimates.record_cost(row.request, used)
            busy_seconds = now_seconds - row.attempt.started_at_seconds
            target_id = row.attempt.target_id
            totals = self._state.completion_totals.get(target_id, CompletionTotals())
            self._state.completion_totals[target_id] = totals.plus(
                CompletionTotals(1, used, busy_seconds)
            )

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """End an attempt that did not run and requeue its request at the front."""
        row = self._end_attempt(attempt_id)
        if row is None:
            return
        self._charge_usage(row, 0.0, now_seconds)
        self._charge_lost(row, now_seconds)
        estimate = row.attempt.estimated_cost_units
        waiting = WaitingRequest(row.request, estimate, avoid_target_id)
        self._state.queues.add(waiting, in_front=True)

    def _end_attempt(self, attempt_id: str) -> RunningAttempt | None:
        """Remove a running attempt and free its slot."""
        row = self._state.attempts.end(attempt_id)
        if row is not None:
            self._state.limits.record_end(row.account[1])
            self._is_scheduled = False
        return row

    def _charge_usage(
        self, row: RunningAttempt, used: float, now_seconds: float
    ) -> None:
        """Charge the difference between the usage and the cost charged so far."""
        change = used - row.charged_cost_units
        row.charged_cost_units = used
        self._state.totals.add(row.account, change)
        self._state.limits.record_cost(row.account[1], change, now_seconds)

    def _charge_lost(self, row: RunningAttempt, now_seconds: float) -> None:
        """Charge a part of what the slot of a lost attempt could have served.

        It brought its customer nothing, and the others had to wait. If it cost nothing,
        a customer whose calls always fail would always be next and get all slots.
        Limits don't count it.
        """
        totals = self._state.completion_totals.get(
            row.attempt.target_id, CompletionTotals()
        )
        held_cost_units = row.attempt.estimated_cost_units
        if totals.busy_seconds > 0.0:
            held_seconds = now_seconds - row.attempt.started_at_seconds
            slot_rate = totals.cost_units / totals.busy_seconds
            held_cost_units = min(held_cost_units, slot_rate * held_seconds)
        lost_cost_units = LOST_CHARGED_PART * held_cost_units - row.charged_cost_units
        if lost_cost_units > 0.0:
            self._state.totals.add(row.account, lost_cost_units)

    # --- messages --------------------------------------------------------------------

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Apply a report or grants from another instance."""
        if isinstance(message, ShareReport):
            self._allocator.handle_report(sender_id, incarnation, message, now_seconds)
        elif isinstance(message, SlotGrants) and not self._allocator.handle_grants(
            sender_id, incarnation, message, now_seconds
        ):
            self._handle_grants(sender_id, incarnation, message, now_seconds)

    def _handle_grants(
        self, sender_id: str, incarnation: int, grants: SlotGrants, now_seconds: float
    ) -> None:
        """Apply the grants of this router's allocator."""
        link = self._link
        if link is None or sender_id != link.receiver_id:
            return
        previous = link.receiver_incarnation
        if previous is not None and incarnation > previous:
            # The allocator restarted with empty tables. A new term starts with a
            # full report.
            self._open_link(sender_id, now_seconds)
            return
        if not link.apply_grants(grants, incarnation, now_seconds):
            return
        self._is_scheduled = False
        for update in grants.pools:
            self._state.virtual_times.apply_update(update)
        for limit in grants.limits:
            self._state.limits.set_fraction(limit.customer_id, limit.fraction)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return the messages that are due now."""
        if now_seconds - self._election_checked_at_seconds >= _ELECTION_CHECK_SECONDS:
            self._follow_election(now_seconds)
        if self._is_scheduled:
            self._exchange_messages(now_seconds)
        due = self._outgoing
        self._outgoing = []
        return due

    def _exchange_messages(self, now_seconds: float) -> None:
        """Run the allocator and report to it; deliver messages to this instance."""
        for _ in range(_MAX_EXCHANGE_ROUNDS):
            messages = self._allocator.tick(now_seconds)
            report = self._due_report(now_seconds)
            if report is not None and self._link is not None:
                messages.append(Outgoing(self._link.receiver_id, report, urgent=True))
            if not messages:
                return
            for outgoing in messages:
                if outgoing.receiver_id == self._instance_id:
                    self.handle_message(
                        self._instance_id,
                        self._incarnation,
                        outgoing.message,
                        now_seconds,
                    )
                else:
                    self._outgoing.append(outgoing)

    def _due_report(self, now_seconds: float) -> ShareReport | None:
        """Return the report to the allocator, or None while none is due."""
        if self._link is None or not self._is_scheduled:
            # Requests that arrived since the last decision may start at once.
            # Reporting them as waiting would move slots to this router needlessly.
            return None
        is_own_allocator = self._link.receiver_id == self._instance_id
        return make_router_report(
            self._state, self._link, is_own_allocator, now_seconds
        )


def make_leased_scheduler(
    instance_id: str,
    incarnation: int,
    data_centre: str,
    seed: int,
    is_hub: bool = False,
) -> Scheduler:
    """Return a scheduler on leased slots.

    Args:
        instance_id: This instance.
        incarnation: Grows with each start of the process.
        data_centre: Data centre of this instance.
        seed: Unused, because this scheduler draws no random numbers.
        is_hub: Whether this instance relays messages for its data centre.

    Returns:
        An empty scheduler.
    """
    return LeasedScheduler(instance_id, incarnation, data_centre, is_hub)
