"""The capacity page shows for each line if it holds, is missed or is not measured."""

from tools.capacity import BEGIN, END, Line, make_lines, render, updated_page


def _make_line(computed):
    return Line("x", "`m`", "1 + 1", computed, 2.0, "MB", "must shrink")


def test_a_verdict_follows_from_figure_and_budget():
    assert _make_line(1.9).verdict == "holds"
    assert _make_line(5.0).verdict == "MISSED by 2.5 times: must shrink"
    assert _make_line(None).verdict == "not measured"


def test_the_table_replaces_only_the_text_between_the_marks():
    page = f"before\n{BEGIN}\nstale\n{END}\nafter\n"
    new = updated_page(page, render([_make_line(1.0)]))
    assert new.startswith("before\n")
    assert new.endswith("\nafter\n")
    assert "stale" not in new
    assert "| holds |" in new
    assert updated_page(new, render([_make_line(1.0)])) == new


def test_missing_results_are_shown_as_not_measured():
    relay = {
        "request_seconds": 0.001,
        "token_seconds": 1e-5,
        "bare_token_seconds": 1e-5,
    }
    slope = {"fixed": 100.0, "per_instance": 200.0}
    router = {
        "relay": relay,
        "idle": [{"resident_mb": 60.0}],
        "libraries_mb": 50.0,
        "idle_slopes": {
            f"{role}_{name}": slope
            for role in ("node", "hub")
            for name in ("sent_bytes_per_second", "cpu_fraction")
        },
    }
    verdicts = {line.what: line.verdict for line in make_lines({"router": router})}
    assert verdicts["settings"] == "not measured"
    assert verdicts["fair service"] == "not measured"
    bytes_verdict = verdicts["membership: node, idle, bytes/s"]
    assert bytes_verdict.startswith("MISSED by 10.1 times")
