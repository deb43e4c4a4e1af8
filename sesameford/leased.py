"""The scheduler that runs requests on leased slots, fair over the whole fleet.

A router uses the slots it holds at once, for the waiting customer with the
smallest virtual time, unless others in the fleet are further behind than the
quantum: then the slot goes back for them.
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
from sesameford.router_reports import router_report
from sesameford.router_state import RouterState
from sesameford.scheduling import Scheduler
from sesameford.slot_messages import ShareReport, SlotGrants
from sesameford.tables import Attempt, InstanceRow, Outcome, Request, Target, Usage
from sesameford.windows import CompletionTotals

_FOLLOW_SECONDS = 0.1
_EXCHANGE_ROUNDS = 4
_DECIDE_ROUNDS = 3


class LeasedScheduler:
    """A router's queues, slots and running attempts.

    Args:
        instance_id: This instance.
        incarnation: Grows with each start of the process.
        data_centre: Where it stands.
        is_hub: Whether it passes on for its data centre.
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
        self._serves: dict[str, tuple[str, ...]] = {}
        self._election = Election(instance_id, data_centre, incarnation, is_hub)
        self._allocator = Allocator(instance_id, data_centre)
        self._affinity = Affinity()
        self._estimates = Estimates()
        self._attempts_made = 0
        self._term = 0
        self._link: ReportLink | None = None
        self._decided = False
        self._followed_at_seconds = float("-inf")
        self._unsent: list[Outgoing] = []

    # --- what is observed ------------------------------------------------------

    def configure(self, tree: EffectiveTree, now_seconds: float) -> None:
        """Take a newer tree into force."""
        self._state.tree = tree
        self._state.limits.configure(
            {name: customer.limits for name, customer in tree.customers.items()}
        )
        self._allocator.configure(tree)
        self._decided = False

    def observe_targets(
        self, targets: Mapping[str, Target], now_seconds: float
    ) -> None:
        """Take the present table of targets that may get new work."""
        for target_id, known in self._state.targets.items():
            present = targets.get(target_id)
            if present is None or present.incarnation != known.incarnation:
                self._affinity.forget_target(target_id)
                self._state.completion_totals.pop(target_id, None)
        serves = {one.target_id: one.serves for one in targets.values()}
        if serves != self._serves:
            self._serves = serves
            self._state.pool_of = find_pools(targets.values())
        self._state.targets = dict(targets)
        self._decided = False
        self._follow(now_seconds)

    def observe_instances(
        self, instances: Mapping[str, InstanceRow], now_seconds: float
    ) -> None:
        """Take the present table of other instances."""
        self._election.observe(dict(instances))
        self._state.limits.set_default_fraction(1.0 / (len(instances) + 1))
        self._follow(now_seconds)

    def _follow(self, now_seconds: float) -> None:
        """Turn to the allocator that is elected now, or be it."""
        self._followed_at_seconds = now_seconds
        own = self._state.tree.instances.get(self._instance_id)
        may_serve = own is None or not own.drain
        link = self._link
        if link is not None and link.receiver_id != self._instance_id:
            # While the lease still runs, so that the next allocator has begun by
            # its end: else nothing would be served here in between.
            left_seconds = link.lease_expires_at_seconds - now_seconds
            old = now_seconds - link.opened_at_seconds > LEASE_SECONDS
            if left_seconds < SUSPECT_SECONDS and old:
                self._election.mark_unfit(
                    link.receiver_id, link.receiver_incarnation, now_seconds
                )
        elected = self._election.allocator(may_serve, now_seconds)
        others = self._election.others(now_seconds)
        serves = elected == self._instance_id
        if serves and not self._allocator.active:
            expected = [
                *self._election.neighbours(now_seconds),
                *others.values(),
                self._instance_id,
            ]
            self._allocator.activate(expected, now_seconds)
            for account in self._state.virtual_times.accounts():
                self._allocator.seed(account, self._virtual_time(account))
        elif not serves and self._allocator.active:
            self._allocator.deactivate()
        if self._allocator.active:
            self._allocator.observe_places(others, now_seconds)
        owners = self._election.owners(self._state.targets.values(), now_seconds)
        self._allocator.observe_targets(
            self._state.targets, self._state.pool_of, owners
        )
        if elected is not None and (link is None or link.receiver_id != elected):
            self._open_link(elected, now_seconds)

    def _open_link(self, receiver_id: str, now_seconds: float) -> None:
        """Start a term with an allocator, taking along what is held."""
        old = self._link
        self._term += 1
        link = ReportLink(receiver_id, self._term, now_seconds)
        if old is not None:
            link.holdings = dict(old.holdings) if old.holds(now_seconds) else {}
            link.lease_expires_at_seconds = old.lease_expires_at_seconds
            for account in self._state.totals.totals_by_account():
                told = old.reported_served.get(account, 0.0)
                link.base[account] = old.base.get(account, 0.0) + told
                share = self._allocator.state.share(account[1])
                self._state.virtual_times.start_term(account, told, share)
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
            account, self._served(account), share, now_seconds
        )
        self._state.queues.add(WaitingRequest(request, estimate))
        self._decided = False

    def _account(self, request: Request) -> Account:
        """Return the account that a request is charged to."""
        pool = self._state.pool_of.get(request.resource, request.resource)
        return pool, request.customer_id

    def withdraw(self, request_id: str, now_seconds: float) -> bool:
        """Take a waiting request out; False if it does not wait here any more."""
        return self._state.queues.remove(request_id) is not None

    def remove_expired(self, now_seconds: float) -> Sequence[str]:
        """Take out and return the waiting requests whose deadline has passed."""
        return self._state.queues.remove_expired(now_seconds)

    def waiting_requests(self) -> int:
        """Return how many requests wait here."""
        return len(self._state.queues)

    def running_attempts(self) -> int:
        """Return how many attempts run from here."""
        return len(self._state.attempts)

    # --- deciding --------------------------------------------------------------

    def decide(self, now_seconds: float) -> Sequence[Attempt]:
        """Return the attempts to start now; each counts as in flight at once."""
        attempts: list[Attempt] = []
        for _ in range(_DECIDE_ROUNDS):
            # The allocator may be this very instance: slots that go back to it here
            # can come back for other work at once.
            self._exchange(now_seconds)
            started = self._start_all(now_seconds)
            attempts.extend(started)
            if self._decided and not started:
                break
            self._decided = True
        for customer, resource in self._state.queues.queue_keys():
            pool = self._state.pool_of.get(resource, resource)
            self._state.virtual_times.mark_waiting((pool, customer), now_seconds)
        return attempts

    def _start_all(self, now_seconds: float) -> list[Attempt]:
        """Start what fits the free slots."""
        attempts: list[Attempt] = []
        if self._link is None or not len(self._state.queues):
            return []
        free = self._state.free_slots(self._link, now_seconds)
        if free:
            while (attempt := self._start_next(free, now_seconds)) is not None:
                attempts.append(attempt)
        return attempts

    def _start_next(self, free: dict[str, int], now_seconds: float) -> Attempt | None:
        """Start the request that comes first and fits a free slot, if any."""
        best: QueueKey | None = None
        best_time = 0.0
        for key in self._state.queues.queue_keys():
            if not any(key[1] in self._state.targets[one].serves for one in free):
                continue
            if not self._state.limits.may_start(key[0], now_seconds):
                continue
            account = (self._state.pool_of.get(key[1], key[1]), key[0])
            virtual_time = self._virtual_time(account)
            if best is None or virtual_time < best_time:
                best, best_time = key, virtual_time
        if best is None:
            return None
        return self._start(best, free, now_seconds)

    def _start(
        self, key: QueueKey, free: dict[str, int], now_seconds: float
    ) -> Attempt:
        """Start the head of a queue on a free slot."""
        head = self._state.queues.head(key)
        assert head is not None
        request = head.request
        serving = [one for one in free if key[1] in self._state.targets[one].serves]
        target_id = self._affinity.choose_target(
            request, free, serving, head.avoid_target_id
        )
        self._affinity.record_sent(request, target_id)
        self._state.queues.remove(request.request_id)
        free[target_id] -= 1
        if free[target_id] == 0:
            del free[target_id]
        self._attempts_made += 1
        attempt = Attempt(
            f"{self._instance_id}-{self._incarnation}-{self._attempts_made}",
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

    def _served(self, account: Account) -> float:
        """Return the service through this router since the term began."""
        total = self._state.totals.total(account)
        return self._link.total_since_base(account, total) if self._link else total

    def _virtual_time(self, account: Account) -> float:
        """Return a customer's virtual time with what this router added since."""
        share = self._allocator.state.share(account[1])
        return self._state.virtual_times.virtual_time(
            account, self._served(account), share
        )

    # --- running attempts --------------------------------------------------------

    def record_progress(
        self, attempt_id: str, usage: Usage, now_seconds: float
    ) -> None:
        """Take the usage so far of a running attempt; may be skipped at will."""
        row = self._state.attempts.get(attempt_id)
        if row is not None:
            used = cost_of_usage(self._state.tree, row.request, usage)
            if used > row.charged_cost_units:
                self._charge(row, used, now_seconds)

    def settle_attempt(
        self, attempt_id: str, usage: Usage, outcome: Outcome, now_seconds: float
    ) -> None:
        """End an attempt and charge what it used."""
        row = self._end(attempt_id)
        if row is None:
            return
        used = cost_of_usage(self._state.tree, row.request, usage)
        self._charge(row, used, now_seconds)
        if outcome is Outcome.RAN:
            self._estimates.record_cost(row.request, used)
            busy_seconds = now_seconds - row.attempt.started_at_seconds
            target_id = row.attempt.target_id
            pace = self._state.completion_totals.get(target_id, CompletionTotals())
            self._state.completion_totals[target_id] = pace.plus(
                CompletionTotals(1, used, busy_seconds)
            )

    def requeue_attempt(
        self, attempt_id: str, avoid_target_id: str | None, now_seconds: float
    ) -> None:
        """End an attempt that did not run and queue its request again, in front."""
        row = self._end(attempt_id)
        if row is None:
            return
        self._charge(row, 0.0, now_seconds)
        estimate = row.attempt.estimated_cost_units
        waiting = WaitingRequest(row.request, estimate, avoid_target_id)
        self._state.queues.add(waiting, in_front=True)

    def _end(self, attempt_id: str) -> RunningAttempt | None:
        """Take a running attempt out and free its slot."""
        row = self._state.attempts.end(attempt_id)
        if row is not None:
            self._state.limits.record_end(row.account[1])
            self._decided = False
        return row

    def _charge(self, row: RunningAttempt, used: float, now_seconds: float) -> None:
        """Charge the difference between what was charged and what is used."""
        change = used - row.charged_cost_units
        row.charged_cost_units = used
        self._state.totals.add(row.account, change)
        self._state.limits.record_cost(row.account[1], change, now_seconds)

    # --- messages --------------------------------------------------------------------

    def handle_message(
        self, sender_id: str, incarnation: int, message: Message, now_seconds: float
    ) -> None:
        """Take a message of fair service from another instance."""
        if isinstance(message, ShareReport):
            self._allocator.take_report(sender_id, incarnation, message, now_seconds)
        elif isinstance(message, SlotGrants) and not self._allocator.take_grants(
            sender_id, incarnation, message, now_seconds
        ):
            self._take_grants(sender_id, incarnation, message, now_seconds)

    def _take_grants(
        self, sender_id: str, incarnation: int, grants: SlotGrants, now_seconds: float
    ) -> None:
        """Take the answer of the own allocator."""
        link = self._link
        if link is None or sender_id != link.receiver_id:
            return
        known = link.receiver_incarnation
        if known is not None and incarnation > known:
            # It restarted and knows nothing; start a term to tell it all.
            self._open_link(sender_id, now_seconds)
            return
        if not link.apply(grants, incarnation, now_seconds):
            return
        self._decided = False
        for news in grants.pools:
            self._state.virtual_times.apply_update(news)
        for limit in grants.limits:
            self._state.limits.set_fraction(limit.customer_id, limit.fraction)

    def collect_outgoing(self, now_seconds: float) -> Sequence[Outgoing]:
        """Return the messages that are due now."""
        if now_seconds - self._followed_at_seconds >= _FOLLOW_SECONDS:
            self._follow(now_seconds)
        if self._decided:
            self._exchange(now_seconds)
        leaving = self._unsent
        self._unsent = []
        return leaving

    def _exchange(self, now_seconds: float) -> None:
        """Run the allocator and the report to it; deliver what stays here."""
        for _ in range(_EXCHANGE_ROUNDS):
            messages = self._allocator.tick(now_seconds)
            report = self._report(now_seconds)
            if report is not None and self._link is not None:
                messages.append(Outgoing(self._link.receiver_id, report, urgent=True))
            if not messages:
                return
            for one in messages:
                if one.receiver_id == self._instance_id:
                    self.handle_message(
                        self._instance_id, self._incarnation, one.message, now_seconds
                    )
                else:
                    self._unsent.append(one)

    def _report(self, now_seconds: float) -> ShareReport | None:
        """Return the report to the allocator, or None while none is due."""
        if self._link is None or not self._decided:
            # What came in since the last decision may start at once; told as
            # waiting it would set slots moving for nothing.
            return None
        inner = self._link.receiver_id == self._instance_id
        return router_report(self._state, self._link, inner, now_seconds)


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
        data_centre: Where it stands.
        seed: Unused: nothing here is drawn at random.
        is_hub: Whether it passes on for its data centre.

    Returns:
        An empty scheduler.
    """
    return LeasedScheduler(instance_id, incarnation, data_centre, is_hub)
