"""What a router reports of its targets, and what it is sent of all routers' targets."""

from sesameford.discovery.heartbeat_table import make_heartbeat_table, short_name
from sesameford.gateway.target_record import TargetRecord
from sesameford.gateway.target_reports import make_target_reports
from sesameford.load_messages import FailingTarget, TargetSpeed
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState


def make_reports(**services):
    """Return reports on targets by service, and the records."""
    table = make_heartbeat_table()
    records = {}
    for service, names in services.items():
        for name in names:
            row = HeartbeatRow(name, 1, service, f"{name}:1", "a", 8, TargetState.READY)
            table.handle_heartbeat(row, 0.0)
            records[name] = TargetRecord()
    return make_target_reports(table, records, records.__getitem__), records


def speed_rows(speeds):
    return tuple(TargetSpeed(short_name(name), speed) for name, speed in speeds.items())


def test_each_service_has_a_usual_speed_of_its_own():
    """Guards against plain targets that make all engines look slow."""
    reports, records = make_reports(pool=("e1", "e2", "e3"), desk=("d1", "d2", "d3"))
    engines = {"e1": 0.5, "e2": 0.5, "e3": 1.2}
    desks = {"d1": 2.0, "d2": 2.0, "d3": 2.1}
    reports.set_speeds(speed_rows(engines | desks))
    assert {name for name, one in records.items() if one.speed != 1.0} == {"e3"}
    assert records["e3"].speed == records["e3"].backlog.speed == 2.4
    assert reports.count_other_speeds() == 1


def test_a_target_that_is_no_longer_named_has_the_usual_speed():
    reports, records = make_reports(pool=("e1", "e2", "e3"))
    reports.set_speeds(speed_rows({"e1": 0.2, "e2": 1.0, "e3": 1.0}))
    assert records["e1"].speed == 0.2
    reports.set_speeds(())
    assert records["e1"].speed == 1.0


def test_rows_of_targets_that_the_table_lacks_are_ignored():
    """Guards against reports of other routers on targets not known here yet."""
    reports, _ = make_reports(pool=("e1",))
    reports.set_speeds(speed_rows({"gone": 0.2, "e1": 1.0}))
    failing = (
        FailingTarget(short_name("gone"), 0.5),
        FailingTarget(short_name("e1"), 0.4),
    )
    assert reports.failed_parts_by_id(failing) == {"e1": 0.4}
