"""The sender of a hello as a peer."""

from sesameford.messages import Hello
from sesameford.settings import Peer


def peer_from_hello(sender_id: str, hello: Hello) -> Peer:
    """Return the sender of a hello as the other end of a link."""
    return Peer(sender_id, hello.data_centre, hello.address, hello.has_disk)
