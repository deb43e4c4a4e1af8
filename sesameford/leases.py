"""The holder's side of a lease: acquisition, renewal and fencing numbers of orders.

Does no I/O: the owner proposes the commands to the log and records the answers. The
replicated state machine is in ``fencing``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameford.fencing import (
    Acquire,
    AcquireSlot,
    FencingAnswer,
    FencingCommand,
    Granted,
    HeldByOthers,
    LeaseRelease,
    LeaseView,
    Malformed,
    NotHeld,
    Renew,
)

LEASE_SECONDS = 10.0
RENEW_FRACTION = 1 / 3
# The clocks of two hosts may differ in rate by this fraction.
CLOCK_RATE_MARGIN = 0.05


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this holder has; times are on its own clock.

    From ``earlier_orders_expired_at_seconds`` on, no order of an earlier holder can
    still be in flight.
    """

    lease: LeaseView
    valid_until_seconds: float
    earlier_orders_expired_at_seconds: float


@dataclass(frozen=True, slots=True)
class _ObservedLease:
    """Another holder's lease, and since when its state is unchanged."""

    lease: LeaseView
    unchanged_since_seconds: float


@dataclass(frozen=True, slots=True)
class LeaseCommand:
    """A command to propose, and the time at which it was decided."""

    command: FencingCommand
    sent_at_seconds: float


class LeaseManager:
    """Acquires and renews one lease; made by the ``make_`` functions below.

    Args:
        acquire: Makes the command that requests the lease, from a lease of another
            holder that has expired, or None.
        holder: The id of this holder; a new one after each start of the process.
        order_deadline_seconds: After this an order has reached its engine or was
            abandoned.
        lease_seconds: The duration of a lease from its last renewal.
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
        self._observed: dict[str, _ObservedLease] = {}
        self._is_command_pending = False
        self._next_command_at_seconds = float("-inf")
        self._unconfirmed: LeaseView | None = None

    def decide(self, now_seconds: float) -> LeaseCommand | None:
        """Return the command to propose now; pass its answer to ``record_answer``."""
        if self._is_command_pending:
            return None
        expired_lease = self._find_expired(now_seconds)
        if now_seconds < self._next_command_at_seconds and expired_lease is None:
            return None
        lease = self._held.lease if self._held else self._unconfirmed
        if lease is not None:
            command: FencingCommand = Renew(lease.name, self._holder, lease.number)
        else:
            command = self._acquire(expired_lease)
        self._is_command_pending = True
        return LeaseCommand(command, now_seconds)

    def record_answer(
        self,
        lease_command: LeaseCommand,
        answer: FencingAnswer | None,
        now_seconds: float,
    ) -> None:
        """Record the answer to a command.

        Args:
            lease_command: The command that ``decide`` returned.
            answer: The answer, or None without a quorum; the next command is correct
                also if this one is accepted later.
            now_seconds: The current time.
        """
        self._is_command_pending = False
        if isinstance(lease_command.command, Renew) and not self._is_claimed:
            # Released meanwhile: another holder may have the lease already.
            return
        match answer:
            case Granted(lease, taken_over):
                self._record_grant(lease_command, lease, taken_over)
            case HeldByOthers(leases):
                self._record_others(leases, now_seconds)
            case NotHeld():
                self._held, self._unconfirmed = None, None
                self._next_command_at_seconds = now_seconds
            case Malformed():
                self._next_command_at_seconds = now_seconds + self._lease_seconds

    @property
    def _is_claimed(self) -> bool:
        """Whether this holder has the lease, or renews it to find out."""
        return self._held is not None or self._unconfirmed is not None

    def lease(self, now_seconds: float) -> LeaseView | None:
        """Return the lease if this holder has it now, else None."""
        held = self._held
        if held is None or now_seconds >= held.valid_until_seconds:
            return None
        return held.lease

    def order_number(self, checks_fencing: bool, now_seconds: float) -> int | None:
        """Return the fencing number for an order, or None if none may be sent yet.

        An engine that ignores fencing numbers would carry out a late order of the
        earlier holder after one of this holder. So the first order to such an engine
        waits until no earlier one can be in flight.

        Args:
            checks_fencing: Whether the engine refuses an old number.
            now_seconds: The current time.
        """
        lease = self.lease(now_seconds)
        if lease is None or self._held is None:
            return None
        if (
            not checks_fencing
            and now_seconds < self._held.earlier_orders_expired_at_seconds
        ):
            return None
        return lease.number

    def release(self, now_seconds: float) -> LeaseCommand | None:
        """Stop using the lease and return the command that releases it, if held.

        Must be called only when none of this holder's orders is in flight.
        """
        held, self._held, self._unconfirmed = self._held, None, None
        if held is None:
            return None
        lease = held.lease
        return LeaseCommand(
            LeaseRelease(lease.name, self._holder, lease.number), now_seconds
        )

    def _record_grant(
        self, lease_command: LeaseCommand, lease: LeaseView, taken_over: bool
    ) -> None:
        """Record a granted lease; it is valid from when its command was sent."""
        sent_at = lease_command.sent_at_seconds
        expired_at = sent_at
        if self._held is not None and self._held.lease.number == lease.number:
            expired_at = self._held.earlier_orders_expired_at_seconds
        elif taken_over or self._unconfirmed is not None:
            margin = self._order_deadline_seconds * CLOCK_RATE_MARGIN
            expired_at = sent_at + self._order_deadline_seconds + margin
        self._observed.clear()
        self._unconfirmed = None
        self._next_command_at_seconds = sent_at + self._lease_seconds * RENEW_FRACTION
        self._held = HeldLease(
            lease,
            valid_until_seconds=sent_at + self._lease_seconds,
            earlier_orders_expired_at_seconds=expired_at,
        )

    def _record_others(self, leases: tuple[LeaseView, ...], now_seconds: float) -> None:
        """Record since when the leases of other holders are unchanged.

        After a lost answer the lease may already belong to this holder. A renewal
        under its number then confirms it.
        """
        self._next_command_at_seconds = (
            now_seconds + self._lease_seconds * RENEW_FRACTION
        )
        observed = {}
        for lease in leases:
            if lease.holder == self._holder:
                self._unconfirmed = lease
                self._next_command_at_seconds = now_seconds
                continue
            observation = self._observed.get(lease.name)
            if observation is None or observation.lease != lease:
                observation = _ObservedLease(lease, now_seconds)
            observed[lease.name] = observation
        self._observed = observed

    def _find_expired(self, now_seconds: float) -> LeaseView | None:
        """Return a lease that must have expired on its holder's clock too, or None."""
        wait = self._lease_seconds * (1 + CLOCK_RATE_MARGIN)
        for observed in self._observed.values():
            if now_seconds - observed.unchanged_since_seconds >= wait:
                return observed.lease
        return None


def make_lease_manager(
    name: str,
    holder: str,
    order_deadline_seconds: float,
    lease_seconds: float = LEASE_SECONDS,
) -> LeaseManager:
    """Return the manager of one named lease.

    Args:
        name: The name of the lease.
        holder: The id of this holder; a new one after each start of the process.
        order_deadline_seconds: After this an order has reached its engine or was
            abandoned.
        lease_seconds: The duration of a lease from its last renewal; must be the
            same at all holders.
    """
    return LeaseManager(
        lambda expired_lease: Acquire(name, holder, expired_lease),
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
    """Return the manager of a lease on any one slot of a group.

    Args:
        group: The group, such as ``WEIGHT_STORE_GROUP``.
        slots: Returns the group's number of slots in the settings in force.
        holder: The id of this holder; a new one after each start of the process.
        order_deadline_seconds: After this an order was abandoned.
        lease_seconds: The duration of a lease from its last renewal; must be the
            same at all holders.
    """
    return LeaseManager(
        lambda expired_lease: AcquireSlot(group, slots(), holder, expired_lease),
        holder,
        order_deadline_seconds,
        lease_seconds,
    )
