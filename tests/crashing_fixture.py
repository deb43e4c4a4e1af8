"""A request that crashes its servers, sent again and again beside others."""

import asyncio
from dataclasses import dataclass, field
from itertools import count
from time import monotonic

from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState
from standins.platform_server import shared_parts

CRASHING_BODY = b"crashes its server"
HEARTBEAT_SECONDS = 0.3
REVIVE_SECONDS = 1.0
RESEND_SECONDS = 0.3
PLAY_SECONDS = 8.0
OTHERS_SECONDS = 0.05
# Sends to servers count as late this long after the third crash.
CONTACT_SECONDS = 3.0


def crashes_by_body(call):
    return call.body == CRASHING_BODY


def has_part(*crashing):
    """Return whether a call's prompt has a part, other than the last, that crashes."""

    def is_crashing(call):
        return not shared_parts(call).isdisjoint(crashing)

    return is_crashing


@dataclass
class Play:
    """What callers and servers saw; times are of the monotonic clock."""

    crashing_statuses: list = field(default_factory=list)
    others: list = field(default_factory=list)
    ended_at_seconds: float = 0.0

    def served_at_the_end(self, seconds=2.0):
        """Return the part of the others' calls of the last seconds that was served."""
        since = self.ended_at_seconds - seconds
        statuses = [status for at, status in self.others if at >= since]
        return statuses.count(200) / len(statuses)


def crashes(servers):
    """Return when servers crashed."""
    return sorted(at for server in servers for at in server.crashes_seconds)


def late_sends(servers, is_crashing=crashes_by_body, allowed_crashes=3):
    """Return how many crashing calls reached servers long after the allowed crashes."""
    times = crashes(servers)
    if len(times) < allowed_crashes:
        return 0
    return sum(
        call.arrived_at_seconds > times[allowed_crashes - 1] + CONTACT_SECONDS
        for server in servers
        for call in server.received_calls
        if is_crashing(call)
    )


def make_heartbeat(row):
    """Return the body of a server's heartbeat."""
    return {
        "service": row.service,
        "address": row.address,
        "zone": row.data_centre,
        "slots": row.slots,
        "state": row.state.value,
        "sequence": row.sequence,
    }


class Keeper:
    """Sends the servers' heartbeats, and starts them again after a crash."""

    def __init__(self, servers, put_row):
        self._servers = servers
        self._put_row = put_row
        self._numbers = count(1)
        self._sequences = count(2)
        self._tasks = set()

    def start(self, manner=None, crashes_on=crashes_by_body):
        for server in self._servers:
            server.crashes = crashes_on
            server.pause_seconds = server.pause_seconds or 0.03
            if manner is not None:
                server.crash_manner = manner
            server.on_crash = lambda server=server: self._keep(self._revive(server))
        self._keep(self._beat())

    def _keep(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _revive(self, server):
        await asyncio.sleep(REVIVE_SECONDS)
        await server.restart(f"{server.target_id.split('-')[0]}-{next(self._numbers)}")
        await self._put_row(self._row(server))

    async def _beat(self):
        while True:
            for server in self._servers:
                if server.is_running:
                    await self._put_row(self._row(server))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _row(self, server):
        return HeartbeatRow(
            server.target_id,
            next(self._sequences),
            "pool",
            server.address,
            "a",
            8,
            TargetState.READY,
        )

    def stop(self):
        for task in self._tasks:
            task.cancel()


async def send_regularly(play, ask, kind, interval_seconds, until_seconds):
    """Send calls at regular times without waiting for their answers."""
    tasks = []
    while monotonic() < until_seconds:
        tasks.append(asyncio.create_task(_record(play, ask, kind)))
        await asyncio.sleep(interval_seconds)
    await asyncio.gather(*tasks)


async def _record(play, ask, kind):
    at_seconds = monotonic()
    status = await ask()
    if kind == "crashing":
        play.crashing_statuses.append(status)
    else:
        play.others.append((at_seconds, status))


async def play_crashing_request(ask_crashing, ask_other, copies=1):
    """Send a crashing call again and again beside others; return what was seen.

    Args:
        ask_crashing: Sends the crashing call once and returns the status.
        ask_other: Sends a call that crashes nothing and returns the status.
        copies: How many copies of the crashing call are sent at once.
    """
    play = Play()
    until_seconds = monotonic() + PLAY_SECONDS
    senders = [(ask_crashing, "crashing", RESEND_SECONDS)] * copies
    senders.append((ask_other, "other", OTHERS_SECONDS))
    await asyncio.gather(
        *(
            send_regularly(play, ask, kind, interval_seconds, until_seconds)
            for ask, kind, interval_seconds in senders
        )
    )
    play.ended_at_seconds = until_seconds
    return play
