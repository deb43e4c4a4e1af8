"""Whom a greeting comes from."""

from sesameford.messages import Greeting
from sesameford.settings import Peer


def greeted_peer(sender_id: str, greeting: Greeting) -> Peer:
    """Return the sender of a greeting as the other end of a link."""
    return Peer(sender_id, greeting.data_centre, greeting.address, greeting.has_disk)
