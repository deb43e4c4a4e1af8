"""The links on which slots are reported and granted."""

from sesameford.links import ReportLink
from sesameford.slot_messages import GrantRow, SlotGrants


def test_an_answer_to_the_process_before_hides_no_later_one():
    """A router restarts, and a late answer to the process before reaches it first.

    It has a high number. Taken for the newest it hid all answers to the new process,
    which found its allocator silent and dealt out the same slots beside it.
    """
    link = ReportLink("allocator", 1, 0.0)
    report = link.record_sent_report(0.0)
    late = SlotGrants(1, 746, 848, False, grants=(GrantRow("t", 3),))
    assert not link.apply_grants(late, 1, 0.1)
    assert not link.holdings
    new = SlotGrants(1, 1, report, True, grants=(GrantRow("t", 1),))
    assert link.apply_grants(new, 1, 0.2)
    assert link.holdings == {"t": 1}
    assert link.has_valid_lease(0.3)
