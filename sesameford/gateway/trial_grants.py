"""Grants that keep the trials of one suspect apart, over all routers.

Two crashes or more may be due to copies that were under way at once. Without a grant
each router that then gets a copy could try it at the same moment, and lose a target. So
a router asks the replica with the lowest id, which grants one trial at a time and tells
all instances of it, and tells the replica when the trial is over. These messages bring
the rows of what is tried: the next router would try it before it hears that the last
trial crashed. A router that is cut off from all replicas tries alone; one that gets no
reply refuses the call, as another router may be trying it.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from msgspec.structs import replace

from sesameford.messages import Outgoing, SuspectUpdate

# A grant ends with its trial, or after this time if its router is gone.
GRANT_SECONDS = 4.0


@dataclass(slots=True)
class TrialGrants:
    """The grants that one instance knows; made by ``make_trial_grants``.

    Args:
        own_id: This instance.
        is_replica: Whether it grants trials.
        replicas: Returns the live replicas.
        list_rows: Returns the rows that this instance has of what is tried.
        send: Sends a message.
    """

    own_id: str
    is_replica: bool
    replicas: Callable[[float], Sequence[str]]
    list_rows: Callable[[bytes], Sequence[SuspectUpdate]]
    send: Callable[[Outgoing], None]
    _routers: dict[bytes, tuple[str, float]] = field(default_factory=dict)

    def request(self, digest: bytes, now_seconds: float) -> bool:
        """Ask for a grant; return whether there is a replica to ask."""
        replica = min(self.replicas(now_seconds), default=None)
        if replica is None:
            return False
        update = SuspectUpdate(digest, (), False, trial_router=self.own_id)
        self.send(Outgoing(replica, update, urgent=True))
        return True

    def release(self, digest: bytes, now_seconds: float) -> None:
        """End this router's own grant, as its trial is over; others may ask for one."""
        if not self.is_granted(digest, now_seconds):
            return
        del self._routers[digest]
        replica = min(self.replicas(now_seconds), default=None)
        if replica is not None:
            update = SuspectUpdate(
                digest, (), False, trial_router=self.own_id, is_trial_over=True
            )
            self._send_with_rows(replica, update)

    def handle(self, sender_id: str, update: SuspectUpdate, now_seconds: float) -> None:
        """Handle a router's message at a replica, or a replica's notice of it."""
        digest, router = update.request_digest, update.trial_router
        is_from_router = self.is_replica and sender_id == router
        holder = self._holder(digest, now_seconds)
        if update.is_trial_over:
            if holder != router:
                return
            del self._routers[digest]
        else:
            if is_from_router and holder not in (None, router):
                return
            self._routers[digest] = (router, now_seconds + GRANT_SECONDS)
        if is_from_router:
            self._send_with_rows(None, update)

    def _send_with_rows(self, receiver_id: str | None, update: SuspectUpdate) -> None:
        rows = tuple(self.list_rows(update.request_digest))
        self.send(Outgoing(receiver_id, replace(update, others=rows), urgent=True))

    def is_granted(self, digest: bytes, now_seconds: float) -> bool:
        """Return whether this router may try a request now."""
        return self._holder(digest, now_seconds) == self.own_id

    def is_elsewhere(self, digest: bytes, now_seconds: float) -> bool:
        """Return whether another router may try a request now."""
        return self._holder(digest, now_seconds) not in (None, self.own_id)

    def forget(self, now_seconds: float) -> None:
        """Drop the grants whose time is over."""
        for digest in list(self._routers):
            if self._holder(digest, now_seconds) is None:
                del self._routers[digest]

    def _holder(self, digest: bytes, now_seconds: float) -> str | None:
        router, until_seconds = self._routers.get(digest, (None, 0.0))
        return router if now_seconds < until_seconds else None


def make_trial_grants(
    own_id: str,
    is_replica: bool,
    replicas: Callable[[float], Sequence[str]],
    list_rows: Callable[[bytes], Sequence[SuspectUpdate]],
    send: Callable[[Outgoing], None],
) -> TrialGrants:
    """Return an instance's state without grants; see ``TrialGrants``."""
    return TrialGrants(own_id, is_replica, replicas, list_rows, send)
