"""What a router reports of its targets, and what it is sent of all routers' targets.

Reports name targets by short names; an entry that is not in this router's table is
ignored, as the table learns of targets on another way.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from sesameford.discovery.heartbeat_table import HeartbeatTable, short_name
from sesameford.effective import ServiceSettings
from sesameford.gateway.target_record import TargetRecord
from sesameford.gateway.target_speeds import relative_speeds
from sesameford.load_messages import (
    FailingTarget,
    TargetLoad,
    TargetOutcomes,
    TargetSpeed,
    TargetTimes,
    UsedParts,
)


@dataclass(frozen=True, slots=True)
class EngineView:
    """What one router takes for the load of all targets, its own part and the rest."""

    own_requests: int
    other_requests: int
    own_unread_tokens: int
    other_unread_tokens: int


class TargetReports:
    """Reports from and to the records of one router's targets."""

    def __init__(
        self,
        table: HeartbeatTable,
        records: Mapping[str, TargetRecord],
        record: Callable[[str], TargetRecord],
    ) -> None:
        self._table = table
        self._records = records
        self._record = record

    def loads(self, now_seconds: float) -> tuple[TargetLoad, ...]:
        """Return this router's running requests and unread tokens by target."""
        return tuple(
            TargetLoad(
                short_name(target_id),
                record.running_requests(now_seconds),
                record.backlog.unread_tokens(now_seconds),
            )
            for target_id, record in self._records.items()
            if record.requests
        )

    def engine_view(self, now_seconds: float) -> EngineView:
        """Return the sums of what this router takes for the load of all targets."""
        records = self._records.values()
        return EngineView(
            sum(one.running_requests(now_seconds) for one in records),
            sum(one.others_requests for one in records),
            sum(one.backlog.unread_tokens(now_seconds) for one in records),
            sum(one.backlog.others_unread_tokens for one in records),
        )

    def flush_used_parts(self) -> tuple[UsedParts, ...]:
        """Return what this router sent to engines since the last call."""
        rows = [
            record.memory.flush_used_parts(short_name(target_id))
            for target_id, record in self._records.items()
        ]
        return tuple(row for row in rows if row is not None)

    def flush_outcomes(self) -> tuple[TargetOutcomes, ...]:
        """Return how many requests targets answered and failed since the last call."""
        rows = []
        for target_id, record in self._records.items():
            if record.answered_requests or record.failed_requests:
                name = short_name(target_id)
                rows.append(
                    TargetOutcomes(
                        name, record.answered_requests, record.failed_requests
                    )
                )
                record.answered_requests = record.failed_requests = 0
        return tuple(rows)

    def flush_times(self) -> tuple[TargetTimes, ...]:
        """Return how long requests took at targets since the last call."""
        rows = [
            record.times.flush(short_name(target_id))
            for target_id, record in self._records.items()
        ]
        return tuple(row for row in rows if row is not None)

    def set_speeds(self, rows: Iterable[TargetSpeed]) -> None:
        """Set the speeds of targets, as the whole fleet sees them."""
        speeds = self.relative_speeds(rows)
        for target_id, record in self._records.items():
            record.set_speed(speeds.get(target_id, 1.0))

    def relative_speeds(self, rows: Iterable[TargetSpeed]) -> dict[str, float]:
        """Return the speeds by target id, beside the usual one of each service.

        Args:
            rows: The reported speeds.

        Returns:
            The targets that differ from the usual speed.
        """
        by_service: dict[str, dict[str, float]] = defaultdict(dict)
        for target_id, speed in self._by_id((row.name, row.speed) for row in rows):
            service = self._table.entries[target_id].row.service
            by_service[service][target_id] = speed
        return {
            target_id: speed
            for speeds in by_service.values()
            for target_id, speed in relative_speeds(speeds).items()
        }

    def count_other_speeds(self) -> int:
        """Return how many targets are not of the usual speed of their service."""
        return sum(record.speed != 1.0 for record in self._records.values())

    def set_failing_targets(self, rows: Iterable[FailingTarget]) -> None:
        """Set the part of requests that targets fail, as the whole fleet sees it."""
        parts = {row.name: row.failed_part for row in rows}
        for target_id, record in self._records.items():
            record.failed_part = parts.get(short_name(target_id), 0.0)

    def failed_parts_by_id(self, rows: Iterable[FailingTarget]) -> dict[str, float]:
        """Return the failed part by target id, of targets in this router's table."""
        return dict(self._by_id((row.name, row.failed_part) for row in rows))

    def _by_id(self, rows: Iterable[tuple[int, float]]) -> Iterator[tuple[str, float]]:
        """Yield target ids in place of the short names in this router's table."""
        for name, value in rows:
            entry = self._table.find_by_name(name)
            if entry is not None:
                yield entry.row.target_id, value

    def record_used_parts(
        self, rows: Iterable[UsedParts], engines: Mapping[str, ServiceSettings]
    ) -> None:
        """Record what other routers have sent to engines.

        Args:
            rows: The parts and tokens, one row for each engine.
            engines: The settings by service.
        """
        for row in rows:
            entry = self._table.find_by_name(row.name)
            if entry is None:
                # This instance's table has no such target yet, or no longer.
                continue
            engine = engines.get(entry.row.service)
            memory_tokens = engine.cache_tokens if engine else None
            self._record(entry.row.target_id).memory.record_used_parts(
                row, memory_tokens
            )


def make_target_reports(
    table: HeartbeatTable,
    records: Mapping[str, TargetRecord],
    record: Callable[[str], TargetRecord],
) -> TargetReports:
    """Return the reports of one router.

    Args:
        table: The targets and their heartbeats.
        records: The router's records by target id.
        record: Returns the record of a target, made if there is none.
    """
    return TargetReports(table, records, record)
