"""The status report that an instance returns to operators."""

from typing import Any

from msgspec import Struct, field

from sesameford.tables import InstanceState, TargetKind


class InstanceStatus(Struct, frozen=True):
    """One instance as the reporting instance sees it.

    ``heard_seconds_ago`` is the time since its last heartbeat: 0 for the reporting
    instance itself, and None for an instance of the settings that has never sent
    one. ``live`` is False after the heartbeat timeout. ``role`` is its role in the
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
    """One target as the reporting instance sees it."""

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
    """The replicated log as the reporting instance sees it.

    ``quorum`` is None where the instance can't determine it.
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
    """Return the instances that have not reported a revision.

    Args:
        report: The status report of one instance.
        revision: The revision to compare with.

    Returns:
        The live instances below the revision, and the silent instances, whose
        revision is unknown.
    """
    behind = [
        instance
        for instance in report.instances
        if instance.live and (instance.revision is None or instance.revision < revision)
    ]
    return behind, [instance for instance in report.instances if not instance.live]
