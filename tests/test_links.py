"""Links between holders of slots and allocators."""

from sesameford.links import ReportLink
from sesameford.slot_messages import GrantRow, SlotGrants


def test_late_answer_to_previous_process_is_ignored():
    """A router restarts and first receives a late answer to its previous process.

    The answer has a high sequence. When it counted as the newest, all answers to the
    new process were ignored. The process then considered its allocator silent and
    granted the same slots a second time.
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
