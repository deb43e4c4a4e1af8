"""Lost, duplicated and late reports do not change the final totals."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.accounts import OriginTerm, OriginTotals
from sesameford.links import GrantLink
from sesameford.slot_messages import PoolReport, ServedRow, ShareReport

ACCOUNT = ("m", "c")


def test_a_restarted_origin_counts_from_zero_and_its_late_reports_are_ignored():
    """A router restarts, and a report from before its crash arrives late.

    If it were accepted, the customer would be charged twice and wait needlessly.
    """
    totals = OriginTotals()
    old, new = OriginTerm(1, 1), OriginTerm(2, 1)
    assert totals.open_term("r", old)
    assert totals.merge_total("r", ACCOUNT, 100.0) == 100.0
    assert totals.open_term("r", new)
    assert totals.merge_total("r", ACCOUNT, 30.0) == 30.0
    assert not totals.open_term("r", old)


@settings(derandomize=True, max_examples=150)
@given(
    st.lists(st.floats(-50.0, 100.0), min_size=1, max_size=12),
    st.lists(st.integers(0, 11), max_size=30),
)
def test_delivery_in_any_order_ends_at_the_latest_total(steps, deliveries):
    reports = []
    total = 0.0
    for number, step in enumerate(steps, 1):
        total += step
        rows = (PoolReport("m", (ServedRow("c", total),)),)
        reports.append(ShareReport(1, number, 0, pools=rows))
    link = GrantLink("r", "", 1, 1, 0.0, 0.0)
    totals = OriginTotals()
    totals.open_term("r", OriginTerm(1, 1))
    counted = 0.0
    order = [reports[index % len(reports)] for index in deliveries]
    for report in [*order, reports[-1], *order]:
        if link.accept_report(report, 0.0):
            served = report.pools[0].served[0]
            counted += totals.merge_total("r", ACCOUNT, served.served_cost_units)
    assert abs(counted - total) < 1e-6
