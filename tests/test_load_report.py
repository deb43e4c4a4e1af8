"""The report on who waits and who is refused."""

from msgspec.json import encode

from tools.load_report import format_report, make_load_report, read_entries

CALL = {
    "at": "2026-01-01T00:00:00+00:00",
    "message": "answered",
    "route": "r",
    "first_event_seconds": "0.2",
    "longest_pause_seconds": "0.1",
    "expected_seconds": "0.15",
    "objective_seconds": "0.3",
    "waited_seconds": "0.0",
}
REFUSED = {
    "at": "2026-01-01T00:00:03+00:00",
    "message": "refused",
    "reason": "over-share",
    "customer": "flood",
    "instance": "r1",
    "data_centre": "a",
}


def report_of(tmp_path, *entries):
    log = tmp_path / "log"
    lines = [b" 1.5 r1 " + encode(entry) for entry in entries]
    log.write_bytes(b"\n".join([b"{", b"text", *lines]))
    return make_load_report(read_entries([log]), 2.0)


def test_calls_are_counted_by_window_and_cause(tmp_path):
    returned = CALL | {"waited_seconds": "0.2"}
    paused = CALL | {"longest_pause_seconds": "0.5"}
    report = report_of(tmp_path, CALL, returned, paused, REFUSED)
    window = report.windows[0]
    assert (window.in_time, window.late, window.paused) == (1, 1, 1)
    assert report.windows[1].refused == {"over-share": 1}
    text = "\n".join(format_report(report, 2.0))
    assert "refused by customer: flood over-share 1" in text


def test_a_log_without_calls_gives_an_empty_report(tmp_path):
    report = report_of(tmp_path, {"message": "started", "at": "x"})
    assert list(format_report(report, 2.0)) == ["failed sends: "]
