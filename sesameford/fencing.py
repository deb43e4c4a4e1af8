"""Leases with fencing numbers for orders to engines, replicated in the log.

The state machine reads no clock. A holder counts its lease from when it *sent* the
accepted command. A contender counts from when it *observed* the lease's current
state, which is later, and can take over only from that exact state. So the clocks of
two hosts need only run at about the same rate. The holder's side is in ``leases``.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

MAX_LEASES = 10_000
MAX_NAME_LENGTH = 256
# The group whose slots are the fleet-wide budget for loads from the weight store.
WEIGHT_STORE_GROUP = "weight-store"


class LeaseView(Struct, frozen=True, array_like=True):
    """The state of a lease: its holder, fencing number and count of renewals."""

    name: str
    holder: str
    number: int
    renewals: int


class Acquire(Struct, frozen=True, tag=1, array_like=True):
    """Requests a lease that is free, or still in a state that the sender saw expire."""

    name: str
    holder: str
    expired_lease: LeaseView | None = None


class AcquireSlot(Struct, frozen=True, tag=2, array_like=True):
    """Requests any free slot of a group, or the one that the sender saw expire."""

    group: str
    slots: int
    holder: str
    expired_lease: LeaseView | None = None


class Renew(Struct, frozen=True, tag=3, array_like=True):
    """Renews a lease that the sender holds."""

    name: str
    holder: str
    number: int


class LeaseRelease(Struct, frozen=True, tag=4, array_like=True):
    """Releases a lease; none of the sender's orders is in flight."""

    name: str
    holder: str
    number: int


class Granted(Struct, frozen=True, tag=1, array_like=True):
    """The sender holds the lease.

    ``taken_over`` tells that it was another holder's lease that expired.
    """

    lease: LeaseView
    taken_over: bool


class HeldByOthers(Struct, frozen=True, tag=2, array_like=True):
    """Other holders have all requested leases, listed here in their current state."""

    leases: tuple[LeaseView, ...]


class NotHeld(Struct, frozen=True, tag=3, array_like=True):
    """The sender does not hold the lease, or no longer."""


class Malformed(Struct, frozen=True, tag=4, array_like=True):
    """The command is invalid; nothing was changed."""

    reason: str


FencingCommand = Acquire | AcquireSlot | Renew | LeaseRelease
FencingAnswer = Granted | HeldByOthers | NotHeld | Malformed

_encoder = Encoder()
_command_decoder = Decoder(FencingCommand)
_answer_decoder = Decoder(FencingAnswer)
_snapshot_decoder = Decoder(list[LeaseView])


class FencingMachine:
    """The leases of the fleet; a ``StateMachine`` of the replicated log."""

    name = "fencing"

    def __init__(self) -> None:
        self._leases: dict[str, LeaseView] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        Args:
            index: Its log index, which becomes the fencing number of the lease that
                it grants: it never repeats and never falls, for any holder.
            command: An encoded ``FencingCommand``.

        Returns:
            An encoded ``FencingAnswer``.
        """
        try:
            decoded = _command_decoder.decode(command)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            return _encoder.encode(Malformed(str(error)))
        return _encoder.encode(self._decide(index, decoded))

    def snapshot(self) -> bytes:
        """Return all leases."""
        return _encoder.encode(list(self._leases.values()))

    def restore(self, snapshot: bytes) -> None:
        """Replace all leases with those of a snapshot."""
        leases = _snapshot_decoder.decode(snapshot)
        self._leases = {lease.name: lease for lease in leases}

    def lease(self, name: str) -> LeaseView | None:
        """Return a held lease, or None."""
        return self._leases.get(name)

    def leases(self) -> tuple[LeaseView, ...]:
        """Return all held leases."""
        return tuple(self._leases.values())

    def _decide(self, index: int, command: FencingCommand) -> FencingAnswer:
        """Apply a command to the leases and return the answer."""
        match command:
            case Acquire():
                return self._acquire(
                    index, (command.name,), command.holder, command.expired_lease
                )
            case AcquireSlot():
                if not 0 < command.slots <= MAX_LEASES:
                    return Malformed("slots out of range")
                names = tuple(
                    slot_name(command.group, slot) for slot in range(command.slots)
                )
                return self._acquire(
                    index, names, command.holder, command.expired_lease
                )
            case Renew():
                return self._renew(command)
            case LeaseRelease():
                return self._release(command)

    def _acquire(
        self,
        index: int,
        names: tuple[str, ...],
        holder: str,
        expired_lease: LeaseView | None,
    ) -> FencingAnswer:
        """Grant the first free lease, else the expired one if it is unchanged."""
        if any(len(name) > MAX_NAME_LENGTH for name in (*names, holder)):
            return Malformed("a name is too long")
        for name in names:
            if name not in self._leases:
                if len(self._leases) >= MAX_LEASES:
                    return Malformed("too many leases are held")
                return self._grant(index, name, holder, taken_over=False)
        held = tuple(self._leases[name] for name in names)
        if expired_lease is not None and expired_lease in held:
            return self._grant(index, expired_lease.name, holder, taken_over=True)
        return HeldByOthers(held)

    def _grant(
        self, index: int, name: str, holder: str, taken_over: bool
    ) -> FencingAnswer:
        """Grant a lease to a holder under a new fencing number."""
        lease = LeaseView(name, holder, number=index, renewals=0)
        self._leases[name] = lease
        return Granted(lease, taken_over)

    def _renew(self, command: Renew) -> FencingAnswer:
        """Count a renewal, which shows contenders that the holder is alive."""
        current = self._leases.get(command.name)
        if not _is_holder(current, command) or current is None:
            return NotHeld()
        renewed = LeaseView(
            current.name, current.holder, current.number, current.renewals + 1
        )
        self._leases[command.name] = renewed
        return Granted(renewed, taken_over=False)

    def _release(self, command: LeaseRelease) -> FencingAnswer:
        """Release a lease if the sender holds it."""
        if _is_holder(self._leases.get(command.name), command):
            del self._leases[command.name]
        return NotHeld()


def encode_command(command: FencingCommand) -> bytes:
    """Return the bytes of a command for the log."""
    return _encoder.encode(command)


def decode_answer(answer: bytes) -> FencingAnswer:
    """Return the decoded answer of the fencing state machine.

    Args:
        answer: The bytes that a proposal for the state machine returned.
    """
    return _answer_decoder.decode(answer)


def slot_name(group: str, slot: int) -> str:
    """Return the name of the lease of one slot of a group."""
    return f"{group}/{slot}"


def _is_holder(current: LeaseView | None, command: Renew | LeaseRelease) -> bool:
    """Return whether the sender of a command holds the lease."""
    return current is not None and (current.holder, current.number) == (
        command.holder,
        command.number,
    )
