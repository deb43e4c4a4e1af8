"""A holder's side of a lease: when to ask, when to renew, when an order may go.

Pure: the owner proposes the commands to the log and hands back the answers. The
fencing machine is in ``fencing``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameford.fencing import (
    Acquire,
    AcquireSlot,
    Ended,
    FencingAnswer,
    FencingCommand,
    Granted,
    Held,
    LeaseRelease,
    LeaseView,
    Malformed,
    Renew,
)

LEASE_SECONDS = 10.0
RENEW_FRACTION = 1 / 3
# Clocks of two machines may differ in rate by this much.
CLOCK_RATE_MARGIN = 0.05


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this holder has, on its own clock.

    ``waited_out_at_seconds`` is from when on no order of an earlier holder can
    still be under way.
    """

    lease: LeaseView
    valid_until_seconds: float
    waited_out_at_seconds: float


@dataclass(frozen=True, slots=True)
class _Watched:
    """Another's lease, and since when it has stood like this."""

    lease: LeaseView
    since_seconds: float


@dataclass(frozen=True, slots=True)
class LeaseCommand:
    """A command to propose, and when it was decided."""

    command: FencingCommand
    sent_at_seconds: float


class LeaseManager:
    """Gets and keeps one lease; made by the ``make_`` functions below.

    Args:
        acquire: Makes the command that asks for the lease.
        holder: This holder; another one after each start of the process.
        order_deadline_seconds: After this an order has reached its engine or is
            given up.
        lease_seconds: How long a lease holds from its last renewal.
    """

    def __init__(
        self,
        acquire: Callable[[LeaseView | None], FencingCommand],
        holder: str,
        order_deadline_seconds: float,
        lease_seconds: float,
    ) -> None:
        self._acquire = acquire
        self._holder = holder
        self._order_deadline_seconds = order_deadline_seconds
        self._lease_seconds = lease_seconds
        self._held: HeldLease | None = None
        self._watched: dict[str, _Watched] = {}
        self._asked = False
        self._ask_at_seconds = float("-inf")
        self._mine: LeaseView | None = None

    def decide(self, now_seconds: float) -> LeaseCommand | None:
        """Return the command to propose now; its answer goes to ``record_answer``."""
        if self._asked:
            return None
        waited_out = self._waited_out(now_seconds)
        if now_seconds < self._ask_at_seconds and waited_out is None:
            return None
        lease = self._held.lease if self._held else self._mine
        if lease is not None:
            command: FencingCommand = Renew(lease.name, self._holder, lease.number)
        else:
            command = self._acquire(waited_out)
        self._asked = True
        return LeaseCommand(command, now_seconds)

    def record_answer(
        self, asked: LeaseCommand, answer: FencingAnswer | None, now_seconds: float
    ) -> None:
        """Take the answer to a command.

        Args:
            asked: What ``decide`` returned.
            answer: None where no majority answered; what is asked next copes with
                the command being accepted later.
            now_seconds: The present time.
        """
        self._asked = False
        match answer:
            case Granted(lease, taken_over):
                self._take(asked, lease, taken_over)
            case Held(leases):
                self._watch(leases, now_seconds)
            case Ended():
                self._held, self._mine = None, None
                self._ask_at_seconds = now_seconds
            case Malformed():
                self._ask_at_seconds = now_seconds + self._lease_seconds

    def lease(self, now_seconds: float) -> LeaseView | None:
        """Return the lease while this holder has it."""
        held = self._held
        if held is None or now_seconds >= held.valid_until_seconds:
            return None
        return held.lease

    def order_number(self, checks_fencing: bool, now_seconds: float) -> int | None:
        """Return the fencing number for an order, or None while none may go.

        An engine that ignores fencing numbers would carry out an order of the
        earlier holder that arrives late, after one of ours. So the first order to
        such an engine waits until no earlier one can be under way.

        Args:
            checks_fencing: Whether the engine refuses an old number.
            now_seconds: The present time.
        """
        lease = self.lease(now_seconds)
        if lease is None or self._held is None:
            return None
        if not checks_fencing and now_seconds < self._held.waited_out_at_seconds:
            return None
        return lease.number

    def release(self, now_seconds: float) -> LeaseCommand | None:
        """Stop using the lease and return the command that frees it.

        Call it only when none of this holder's orders is under way.
        """
        held, self._held, self._mine = self._held, None, None
        if held is None:
            return None
        lease = held.lease
        return LeaseCommand(
            LeaseRelease(lease.name, self._holder, lease.number), now_seconds
        )

    def _take(self, asked: LeaseCommand, lease: LeaseView, taken_over: bool) -> None:
        """Hold a lease, counted from when it was asked for."""
        sent_at = asked.sent_at_seconds
        waited_out_at = sent_at
        if self._held is not None and self._held.lease.number == lease.number:
            waited_out_at = self._held.waited_out_at_seconds
        elif taken_over or self._mine is not None:
            margin = self._order_deadline_seconds * CLOCK_RATE_MARGIN
            waited_out_at = sent_at + self._order_deadline_seconds + margin
        self._watched.clear()
        self._mine = None
        self._ask_at_seconds = sent_at + self._lease_seconds * RENEW_FRACTION
        self._held = HeldLease(
            lease,
            valid_until_seconds=sent_at + self._lease_seconds,
            waited_out_at_seconds=waited_out_at,
        )

    def _watch(self, leases: tuple[LeaseView, ...], now_seconds: float) -> None:
        """Note since when others' leases have stood as they do.

        Where an answer was lost, the lease may already be this holder's own. Its
        number is then known again by a renewal.
        """
        self._ask_at_seconds = now_seconds + self._lease_seconds * RENEW_FRACTION
        watched = {}
        for lease in leases:
            if lease.holder == self._holder:
                self._mine = lease
                self._ask_at_seconds = now_seconds
                continue
            known = self._watched.get(lease.name)
            if known is None or known.lease != lease:
                known = _Watched(lease, now_seconds)
            watched[lease.name] = known
        self._watched = watched

    def _waited_out(self, now_seconds: float) -> LeaseView | None:
        """Return a lease that must have run out on its holder's clock too."""
        wait = self._lease_seconds * (1 + CLOCK_RATE_MARGIN)
        for watched in self._watched.values():
            if now_seconds - watched.since_seconds >= wait:
                return watched.lease
        return None


def make_lease_manager(
    name: str,
    holder: str,
    order_deadline_seconds: float,
    lease_seconds: float = LEASE_SECONDS,
) -> LeaseManager:
    """Return the keeper of one named lease.

    Args:
        name: The lease.
        holder: This holder; another one after each start of the process.
        order_deadline_seconds: After this an order has reached its engine or is
            given up.
        lease_seconds: How long a lease holds from its last renewal; the same at
            all holders.
    """
    return LeaseManager(
        lambda waited_out: Acquire(name, holder, waited_out),
        holder,
        order_deadline_seconds,
        lease_seconds,
    )


def make_slot_lease_manager(
    group: str,
    slots: Callable[[], int],
    holder: str,
    order_deadline_seconds: float,
    lease_seconds: float = LEASE_SECONDS,
) -> LeaseManager:
    """Return the keeper of any one slot of a group, such as the weight store's.

    Args:
        group: The group, such as ``WEIGHT_STORE_GROUP``.
        slots: How many slots the settings in force give the group.
        holder: This holder; another one after each start of the process.
        order_deadline_seconds: After this an order is given up.
        lease_seconds: How long a lease holds from its last renewal.
    """
    return LeaseManager(
        lambda waited_out: AcquireSlot(group, slots(), holder, waited_out),
        holder,
        order_deadline_seconds,
        lease_seconds,
    )
