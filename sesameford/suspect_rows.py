"""Rows of the table of suspects, and the updates that tell other routers of them."""

from dataclasses import dataclass, replace

from sesameford.messages import SuspectUpdate

UPDATE_REPEATS = 3


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes to add to a row, and what is known of them; see ``Suspect``."""

    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    trials: frozenset[str] = frozenset()
    answered: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, or a part of prompts, that was in flight when a target crashed.

    At ``trial_crashes`` it was already a suspect when it was sent. At
    ``answered_crashes`` it had been answered just before.
    ``quarantined_at_seconds`` is when this router first found that the present
    number of crashes requires a quarantine. ``updates_left`` counts the updates
    still to be sent to other routers: each is repeated, because links lose messages.
    """

    request_digest: bytes
    crashes: frozenset[str]
    cleared_crashes: frozenset[str]
    last_seen_at_seconds: float
    trial_crashes: frozenset[str] = frozenset()
    answered_crashes: frozenset[str] = frozenset()
    quarantined_at_seconds: float | None = None
    updates_left: int = UPDATE_REPEATS
    next_update_at_seconds: float = 0.0

    @property
    def uncleared_crashes(self) -> frozenset[str]:
        """The crashes that no completion has cleared."""
        return self.crashes - self.cleared_crashes

    def includes(self, record: CrashRecord) -> bool:
        """Return whether the row has all of a record already."""
        return (
            record.crashes <= self.crashes
            and record.cleared <= self.cleared_crashes
            and record.trials <= self.trial_crashes
            and record.answered <= self.answered_crashes
        )

    @property
    def uncleared_trial_crashes(self) -> frozenset[str]:
        """The crashes under a trial that no completion has cleared."""
        return self.trial_crashes - self.cleared_crashes


def make_crash_id(target_id: str, incarnation: int) -> str:
    """Return the id under which all routers count one crash of a target."""
    return f"{target_id}/{incarnation}"


def make_updates(row: Suspect) -> list[SuspectUpdate]:
    """Return the updates that tell other routers of a row."""
    messages = []
    for crashes, cleared in (
        (row.cleared_crashes, True),
        (row.uncleared_crashes, False),
    ):
        if crashes:
            deaths = tuple(sorted(crashes))
            messages.append(
                SuspectUpdate(
                    row.request_digest,
                    deaths,
                    cleared,
                    tuple(sorted(crashes & row.trial_crashes)),
                    answered_deaths=tuple(sorted(crashes & row.answered_crashes)),
                )
            )
    return messages


def count_update(row: Suspect, now_seconds: float, interval_seconds: float) -> Suspect:
    """Return a row after one of its updates was sent."""
    return replace(
        row,
        updates_left=row.updates_left - 1,
        next_update_at_seconds=now_seconds + interval_seconds,
    )
