"""Leases for orders to engines, with fencing numbers, agreed in the log.

The machine reads no clock and compares none. A holder counts its lease from when
it *sent* what was accepted; a contender counts from when it *saw* the lease as it
still stands, which is later, and takes over only that very state of it. So two
clocks need only run at about the same rate. The holder's side is in ``leases``.
"""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

MOST_LEASES = 10_000
MOST_NAME_LENGTH = 256
# The group whose slots are the fleet-wide budget for loads from the weight store.
WEIGHT_STORE_GROUP = "weight-store"


class LeaseView(Struct, frozen=True, array_like=True):
    """A lease as it stands: who holds it, its fencing number, how often renewed."""

    name: str
    holder: str
    number: int
    renewals: int


class Acquire(Struct, frozen=True, tag=1, array_like=True):
    """Give me this lease if it is free or still in the state that I waited out."""

    name: str
    holder: str
    waited_out: LeaseView | None = None


class AcquireSlot(Struct, frozen=True, tag=2, array_like=True):
    """Give me any of a group's slots, or the one whose state I waited out."""

    group: str
    slots: int
    holder: str
    waited_out: LeaseView | None = None


class Renew(Struct, frozen=True, tag=3, array_like=True):
    """I still hold this lease."""

    name: str
    holder: str
    number: int


class LeaseRelease(Struct, frozen=True, tag=4, array_like=True):
    """I hold this lease no more and none of my orders is under way."""

    name: str
    holder: str
    number: int


class Granted(Struct, frozen=True, tag=1, array_like=True):
    """The lease is yours; ``taken_over`` says that another's had to be waited out."""

    lease: LeaseView
    taken_over: bool


class Held(Struct, frozen=True, tag=2, array_like=True):
    """Others hold it; these are the leases to watch."""

    leases: tuple[LeaseView, ...]


class Ended(Struct, frozen=True, tag=3, array_like=True):
    """The lease is not, or no longer, yours."""


class Malformed(Struct, frozen=True, tag=4, array_like=True):
    """The command makes no sense; nothing was changed."""

    reason: str


FencingCommand = Acquire | AcquireSlot | Renew | LeaseRelease
FencingAnswer = Granted | Held | Ended | Malformed

_encoder = Encoder()
_command_decoder = Decoder(FencingCommand)
_answer_decoder = Decoder(FencingAnswer)
_snapshot_decoder = Decoder(list[LeaseView])


class FencingMachine:
    """The leases of the fleet; a ``StateMachine`` of the log."""

    name = "fencing"

    def __init__(self) -> None:
        self._leases: dict[str, LeaseView] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        Args:
            index: Its place in the log, which becomes the fencing number of what
                it grants: it never repeats and never falls, whoever asks.
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
        """Replace all leases by those of a snapshot."""
        leases = _snapshot_decoder.decode(snapshot)
        self._leases = {lease.name: lease for lease in leases}

    def lease(self, name: str) -> LeaseView | None:
        """Return a lease that is held, or None."""
        return self._leases.get(name)

    def leases(self) -> tuple[LeaseView, ...]:
        """Return all leases that are held."""
        return tuple(self._leases.values())

    def _decide(self, index: int, command: FencingCommand) -> FencingAnswer:
        """Return the answer to a command and change the leases accordingly."""
        match command:
            case Acquire():
                return self._acquire(
                    index, (command.name,), command.holder, command.waited_out
                )
            case AcquireSlot():
                if not 0 < command.slots <= MOST_LEASES:
                    return Malformed("slots out of range")
                names = tuple(
                    slot_name(command.group, slot) for slot in range(command.slots)
                )
                return self._acquire(index, names, command.holder, command.waited_out)
            case Renew():
                return self._renew(command)
            case LeaseRelease():
                return self._release(command)

    def _acquire(
        self,
        index: int,
        names: tuple[str, ...],
        holder: str,
        waited_out: LeaseView | None,
    ) -> FencingAnswer:
        """Grant the first of some leases that is free or was waited out."""
        if any(len(name) > MOST_NAME_LENGTH for name in (*names, holder)):
            return Malformed("a name is too long")
        for name in names:
            if name not in self._leases:
                if len(self._leases) >= MOST_LEASES:
                    return Malformed("too many leases are held")
                return self._grant(index, name, holder, taken_over=False)
        held = tuple(self._leases[name] for name in names)
        if waited_out is not None and waited_out in held:
            return self._grant(index, waited_out.name, holder, taken_over=True)
        return Held(held)

    def _grant(
        self, index: int, name: str, holder: str, taken_over: bool
    ) -> FencingAnswer:
        """Give a lease to a holder under a new number."""
        lease = LeaseView(name, holder, number=index, renewals=0)
        self._leases[name] = lease
        return Granted(lease, taken_over)

    def _renew(self, command: Renew) -> FencingAnswer:
        """Show contenders that the holder lives."""
        present = self._leases.get(command.name)
        if not _is_of(present, command) or present is None:
            return Ended()
        renewed = LeaseView(
            present.name, present.holder, present.number, present.renewals + 1
        )
        self._leases[command.name] = renewed
        return Granted(renewed, taken_over=False)

    def _release(self, command: LeaseRelease) -> FencingAnswer:
        """Free a lease."""
        if _is_of(self._leases.get(command.name), command):
            del self._leases[command.name]
        return Ended()


def encode_command(command: FencingCommand) -> bytes:
    """Return the bytes of a command for the log."""
    return _encoder.encode(command)


def decode_answer(answer: bytes) -> FencingAnswer:
    """Return the machine's answer.

    Args:
        answer: What the log answered to a proposal of the fencing machine.
    """
    return _answer_decoder.decode(answer)


def slot_name(group: str, slot: int) -> str:
    """Return the lease that stands for one slot of a group."""
    return f"{group}/{slot}"


def _is_of(present: LeaseView | None, command: Renew | LeaseRelease) -> bool:
    """Return whether the sender of a command holds the lease."""
    return present is not None and (present.holder, present.number) == (
        command.holder,
        command.number,
    )
