"""Attributes crashes of targets to what was in flight there.

A crash involves everything that was in flight on the target. What causes crashes is
found again and again among it, and whether something else is found as often decides how
certain that is.

The crashes of a part of prompts may involve other parts at all times, its neighbours in
the same prompts. Nothing tells these apart then, so a request is refused only if its
prompt has all of them; one that has a part of them is a trial, and its completion
clears those.

Crashes of several customers are compared by the common digests of what was in flight.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from sesameford.request_digest import (
    common_digest,
    customer_part,
    is_pair_digest,
    is_part_digest,
)
from sesameford.suspect_rows import Suspect

CRASHES_TO_QUARANTINE = 2
# So many crashes quarantine a request although another one was in flight at all of
# them, if so many of them were under its trials.
CRASHES_REGARDLESS_OF_OTHERS = 3
TRIAL_CRASHES_REGARDLESS_OF_OTHERS = 2
# From so many crashes on, those under no trial count against a part of prompts as well,
# and one trial is enough.
CRASHES_THAT_ALL_COUNT = 5

# The customers that had something in flight at a crash, by its common digest.
_InFlight = dict[bytes, set[bytes]]


@dataclass(frozen=True, slots=True)
class Evidence:
    """Crashes that no completion cleared, at which something was in flight.

    ``suspect`` is the common digest of a request or part.
    ``trial_crashes`` are those under its trials. ``customers`` is how many customers
    had it in flight at those that decide.
    """

    suspect: bytes
    crashes: frozenset[str]
    trial_crashes: frozenset[str]
    customers: int = 1

    @property
    def is_of_part(self) -> bool:
        """Whether these are crashes of a part of prompts."""
        return is_part_digest(self.suspect)

    @property
    def decisive_crashes(self) -> frozenset[str]:
        """The crashes that tell whether it is their reason.

        For a part of prompts only those under its trials: it may have been in flight at
        another crash by chance, and then stand in one prompt with a part that crashes
        targets. Many crashes at once, before anything was suspected, are no chance. A
        whole request on trial is alone.
        """
        if len(self.trial_crashes) >= CRASHES_TO_QUARANTINE:
            return self.trial_crashes if self.is_of_part else self.crashes
        if self.is_of_part and len(self.crashes) < CRASHES_THAT_ALL_COUNT:
            return self.trial_crashes
        return self.crashes

    @property
    def is_regardless_of_others(self) -> bool:
        """Whether there are so many crashes that others at them don't matter.

        Not for a part of prompts: its neighbours would be refused with it.
        """
        return (
            not self.is_of_part
            and len(self.crashes) >= CRASHES_REGARDLESS_OF_OTHERS
            and len(self.trial_crashes) >= TRIAL_CRASHES_REGARDLESS_OF_OTHERS
        )


@dataclass(slots=True)
class CrashAttribution:
    """What was in flight at each crash; made by ``make_crash_attribution``."""

    _by_crash: dict[str, _InFlight] = field(default_factory=dict)
    _trials_by_crash: dict[str, _InFlight] = field(default_factory=dict)
    _cleared_by_crash: dict[str, _InFlight] = field(default_factory=dict)

    @property
    def has_crashes(self) -> bool:
        """Whether there is a crash that completions have not cleared."""
        return bool(self._by_crash)

    def add(self, row: Suspect) -> None:
        """Add the crashes of a suspect."""
        digest = row.request_digest
        _add_to(self._cleared_by_crash, row.cleared_crashes, digest)
        _add_to(self._by_crash, row.uncleared_crashes, digest)
        _add_to(self._trials_by_crash, row.uncleared_trial_crashes, digest)

    def remove(self, row: Suspect) -> None:
        """Remove the crashes of a suspect that was added."""
        digest = row.request_digest
        _remove_from(self._cleared_by_crash, row.cleared_crashes, digest)
        _remove_from(self._by_crash, row.uncleared_crashes, digest)
        _remove_from(self._trials_by_crash, row.uncleared_trial_crashes, digest)

    def common_suspects(self, crashes: Iterable[str]) -> set[bytes]:
        """Return what was in flight at all of some crashes, by common digests."""
        first, *others = (self._by_crash[crash_id] for crash_id in crashes)
        return set(first).intersection(*others)

    def is_due(self, evidence: Evidence) -> bool:
        """Return whether crashes are attributed to one suspect alone.

        Two suspects may run on one target from two routers. Both then have two
        crashes, and one of them did not cause them: each may run once more, alone.
        They may be suspects of the same crash or of different ones. Parts of one prompt
        can't run apart, and are refused together.
        """
        crashes = evidence.decisive_crashes
        if len(crashes) < CRASHES_TO_QUARANTINE or not evidence.trial_crashes:
            return False
        if evidence.is_regardless_of_others:
            return True
        common = self.common_suspects(crashes)
        is_alone = all(
            self._comes_along(one, evidence.suspect, crash_id)
            for one in common - {evidence.suspect}
            for crash_id in crashes
        )
        if not is_alone:
            return False
        cleared = self._cleared_parts(crashes)
        return any(
            self._tried(evidence, crash_id) - cleared <= common
            for crash_id in evidence.trial_crashes
        )

    def is_caused_by(self, evidence: Evidence, own: set[bytes]) -> bool:
        """Return whether crashes are attributed to what a request has itself.

        Args:
            evidence: The crashes of one of the request's suspects, which are due.
            own: The common digests of the request and of its prompt's parts.
        """
        if evidence.is_regardless_of_others:
            return True
        return self.common_suspects(evidence.decisive_crashes) <= own

    def _tried(self, evidence: Evidence, crash_id: str) -> set[bytes]:
        """Return what a trial of a suspect tried that may be the reason of its crash.

        A call may bring parts that were never seen before. Where one trial decides,
        they are other possible reasons.
        """
        if evidence.is_of_part and len(evidence.trial_crashes) == 1:
            return {
                one
                for one in self._by_crash[crash_id]
                if is_part_digest(one) and not is_pair_digest(one)
            }
        return set(self._trials_by_crash[crash_id])

    def _cleared_parts(self, crashes: Iterable[str]) -> set[bytes]:
        """Return the parts that a customer's completion has cleared of some crashes.

        A neighbour that completes for one customer is no other reason for crashes of
        the same part under other customers' calls.
        """
        cleared = (self._cleared_by_crash.get(crash_id, {}) for crash_id in crashes)
        names = set[bytes]().union(*cleared)
        return {name for name in names if is_part_digest(name)}

    def _comes_along(self, other: bytes, suspect: bytes, crash_id: str) -> bool:
        """Return whether a part came from a customer who sent the suspect as well."""
        in_flight = self._by_crash[crash_id]
        return is_part_digest(other) and not in_flight[other].isdisjoint(
            in_flight[suspect]
        )


def _add_to(
    index: dict[str, _InFlight], crash_ids: Iterable[str], digest: bytes
) -> None:
    """Add a suspect to an index by crash."""
    for crash_id in crash_ids:
        in_flight = index.setdefault(crash_id, {})
        in_flight.setdefault(common_digest(digest), set()).add(customer_part(digest))


def _remove_from(
    index: dict[str, _InFlight], crash_ids: Iterable[str], digest: bytes
) -> None:
    """Remove a suspect from an index by crash."""
    common = common_digest(digest)
    for crash_id in crash_ids:
        in_flight = index[crash_id]
        in_flight[common].discard(customer_part(digest))
        if not in_flight[common]:
            del in_flight[common]
        if not in_flight:
            del index[crash_id]


def evidence_against(row: Suspect) -> Evidence:
    """Return the crashes in one row."""
    return Evidence(
        common_digest(row.request_digest),
        row.uncleared_crashes,
        row.uncleared_trial_crashes,
    )


def make_shared_evidence(rows: Iterable[Suspect]) -> Evidence | None:
    """Return what the rows of all customers show against a request or part.

    A crash that a completion of any customer cleared shows nothing to the others, and
    so does a single one under no trial: most of what was in flight then is innocent.

    Args:
        rows: The rows of one request or part.
    """
    listed = list(rows)
    counted = [
        row
        for row in listed
        if row.uncleared_trial_crashes
        or len(row.uncleared_crashes) >= CRASHES_TO_QUARANTINE
    ]
    if not counted:
        return None
    cleared = frozenset[str]().union(*(row.cleared_crashes for row in listed))
    crashes = frozenset[str]().union(*(row.uncleared_crashes for row in counted))
    trials = frozenset[str]().union(*(row.uncleared_trial_crashes for row in counted))
    if not crashes - cleared:
        return None
    suspect = common_digest(listed[0].request_digest)
    evidence = Evidence(suspect, crashes - cleared, trials - cleared)
    decisive = evidence.decisive_crashes
    customers = sum(not decisive.isdisjoint(row.uncleared_crashes) for row in listed)
    return replace(evidence, customers=customers)


def make_crash_attribution() -> CrashAttribution:
    """Return the state without crashes."""
    return CrashAttribution()
