"""The request bodies with which targets announce themselves and leave."""

from msgspec import Struct, json

from sesameford.messages import TargetAnnouncement
from sesameford.operators_http import Problem
from sesameford.tables import TargetKind

MAX_ANNOUNCEMENT_BYTES = 100_000
MAX_COUNTER = (1 << 62) - 1
MAX_NAME_CHARACTERS = 200
MAX_URL_CHARACTERS = 500
MAX_SERVED_NAMES = 1000
MAX_CAPACITY_SLOTS = 1_000_000


class AnnounceBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a target's announcement."""

    target_id: str
    incarnation: int
    sequence: int
    kind: TargetKind
    serves: tuple[str, ...]
    url: str
    data_centre: str
    capacity_slots: int
    lease_seconds: float
    checks_fencing: bool = False


class LeaveBody(Struct, frozen=True):
    """The body of a target's leave; other fields are ignored."""

    target_id: str
    incarnation: int
    sequence: int


announce_bodies = json.Decoder(AnnounceBody)
leave_bodies = json.Decoder(LeaveBody)


def check_announcement(body: AnnounceBody, lease_limit_seconds: float) -> None:
    """Refuse an announcement whose values are out of range.

    A target that dies silently gets work until its lease ends, so the tree limits the
    length of a lease.

    Args:
        body: The announcement.
        lease_limit_seconds: The tree's ``fleet.target_lease_seconds``.

    Raises:
        Problem: A field is out of range; the detail names it.
    """
    if body.lease_seconds > lease_limit_seconds:
        allowed = f"at most {lease_limit_seconds:g}, by fleet.target_lease_seconds"
        raise Problem(400, "bad-body", f"lease_seconds: {allowed}")
    good_fields = {
        "target_id": 0 < len(body.target_id) <= MAX_NAME_CHARACTERS,
        "incarnation": 0 <= body.incarnation <= MAX_COUNTER,
        "sequence": 0 <= body.sequence <= MAX_COUNTER,
        "serves": 0 < len(body.serves) <= MAX_SERVED_NAMES,
        "url": body.url.startswith(("http://", "https://"))
        and len(body.url) <= MAX_URL_CHARACTERS,
        "data_centre": 0 < len(body.data_centre) <= MAX_NAME_CHARACTERS,
        "capacity_slots": 0 < body.capacity_slots <= MAX_CAPACITY_SLOTS,
        "lease_seconds": body.lease_seconds > 0,
    }
    for name, good in good_fields.items():
        if not good:
            raise Problem(400, "bad-body", f"{name}: out of range")


def announcement_from_body(body: AnnounceBody) -> TargetAnnouncement:
    """Return the announcement that instances forward to each other."""
    return TargetAnnouncement(
        target_id=body.target_id,
        incarnation=body.incarnation,
        announcement_sequence=body.sequence,
        kind=body.kind,
        serves=body.serves,
        url=body.url,
        data_centre=body.data_centre,
        capacity_slots=body.capacity_slots,
        lease_remaining_seconds=body.lease_seconds,
        checks_fencing=body.checks_fencing,
    )
