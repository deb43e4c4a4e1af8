"""What an instance tells operators of itself and of the others it knows."""

from typing import Any

from msgspec import Struct, field

from sesameford.tables import InstanceState, TargetKind


class InstanceStatus(Struct, frozen=True):
    """One instance as the answering one knows it.

    ``heard_seconds_ago`` is 0 for the answering instance itself and None for one
    in the settings that was never heard. ``live`` is False for one that has been
    silent for longer than its heartbeats allow. ``role`` is its part in the
    replicated log: leader, follower, learner or none.
    """

    instance_id: str
    data_centre: str
    state: InstanceState | None
    revision: int | None
    heard_seconds_ago: float | None
    live: bool
    role: str = "none"


class TargetStatus(Struct, frozen=True):
    """One target as the answering instance knows it."""

    target_id: str
    data_centre: str
    kind: TargetKind
    serves: tuple[str, ...]
    capacity_slots: int
    running_attempts: int
    lease_remaining_seconds: float
    draining: bool = False


class QuarantineStatus(Struct, frozen=True):
    """A request body that is refused because targets died while running it."""

    body_digest: str
    deaths: int
    remaining_seconds: float


class LogStatus(Struct, frozen=True):
    """The replicated log as the answering instance knows it.

    ``quorum`` is None where the instance can't tell.
    """

    leader_id: str | None = None
    term: int = 0
    commit_index: int = 0
    quorum: bool | None = None
    lease_remaining_seconds: float | None = None


class StatusReport(Struct, frozen=True):
    """The answer to ``GET /status``.

    The targets of the ``evacuated`` data centres get no new work.
    """

    instance_id: str
    data_centre: str
    state: InstanceState
    revision: int
    instances: tuple[InstanceStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()
    quarantine: tuple[QuarantineStatus, ...] = ()
    log: LogStatus = field(default_factory=LogStatus)
    evacuated: tuple[str, ...] = ()
    more: dict[str, Any] = field(default_factory=dict)


def instances_behind(
    report: StatusReport, revision: int
) -> tuple[list[InstanceStatus], list[InstanceStatus]]:
    """Return who is not known to be at a revision.

    Args:
        report: What one instance knows.
        revision: The revision asked about.

    Returns:
        The live instances below it, and the silent ones, of which nobody here can
        tell.
    """
    behind = [
        one
        for one in report.instances
        if one.live and (one.revision is None or one.revision < revision)
    ]
    return behind, [one for one in report.instances if not one.live]
