"""Whom a greeting comes from."""

from sesameford.messages import Hello
from sesameford.settings import Peer


def peer_from_hello(sender_id: str, greeting: Hello) -> Peer:
    """Return the sender of a greeting as the other end of a link."""
    return Peer(sender_id, greeting.data_centre, greeting.address, greeting.has_disk)
