"""The capacity page says of each line whether it holds, misses or was not measured."""

from tools.capacity import BEGIN, END, Line, make_lines, render, updated_page


def _line(worked):
    return Line("x", "`m`", "1 + 1", worked, 2.0, "MB", "must shrink")


def test_verdicts_are_plain():
    assert _line(1.9).verdict == "holds"
    assert _line(5.0).verdict == "MISSED by 2.5 times: must shrink"
    assert _line(None).verdict == "not measured"


def test_the_table_replaces_only_what_stands_between_the_marks():
    page = f"before\n{BEGIN}\nstale\n{END}\nafter\n"
    new = updated_page(page, render([_line(1.0)]))
    assert new.startswith("before\n")
    assert new.endswith("\nafter\n")
    assert "stale" not in new
    assert "| holds |" in new
    assert updated_page(new, render([_line(1.0)])) == new


def test_what_no_module_measured_is_said_so():
    relay = {
        "request_seconds": 0.001,
        "token_seconds": 1e-5,
        "bare_token_seconds": 1e-5,
    }
    line = {"fixed": 100.0, "per_instance": 200.0}
    router = {
        "relay": relay,
        "idle": [{"resident_mb": 60.0}],
        "libraries_mb": 50.0,
        "idle_slopes": {
            f"{role}_{name}": line
            for role in ("node", "hub")
            for name in ("sent_bytes_per_second", "cpu_fraction")
        },
    }
    verdicts = {line.what: line.verdict for line in make_lines({"router": router})}
    assert verdicts["settings"] == "not measured"
    assert verdicts["fair service"] == "not measured"
    bytes_verdict = verdicts["membership: node, idle, bytes/s"]
    assert bytes_verdict.startswith("MISSED by 10.1 times")
