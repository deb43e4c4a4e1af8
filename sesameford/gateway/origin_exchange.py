"""How the origins of streams get from the router that began one to any other.

A caller may resume a stream at any router, and the router that began it may be gone by
then. So that router sends each origin, as it forwards the first event, to two replicas:
one of its own data centre, for callers who are cut off with it, and one of another. A
router that does not know an origin asks all replicas. Replicas also write origins to
their disks, see ``origin_files``. Nothing is agreed on: an origin that is lost costs
its caller a refusal and never a wrong version.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from xxhash import xxh64_intdigest

from sesameford.discovery.heartbeat_table import TableDigests
from sesameford.gateway.origin_files import OriginFiles
from sesameford.gateway.stream_origins import StreamOrigin, StreamOrigins
from sesameford.messages import (
    Outgoing,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginRow,
    StreamOriginRows,
)
from sesameford.settings import Peer

logger = logging.getLogger(__name__)

# The rows that a replica which has just started is sent by each router.
MAX_ROWS_TO_PEER = 4096
# A row is of use while its caller may still return; no caller waits for longer.
MAX_KEEP_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """What the replicas know of a stream.

    ``is_final`` says that all live replicas answered, so asking again later is useless,
    and ``has_same_table`` that all of them knew the same targets as the router when
    they did.
    """

    origin: StreamOrigin | None
    is_final: bool
    has_same_table: bool = False


@dataclass(slots=True)
class _Question:
    """A query that waits for the replies of ``unanswered`` replicas."""

    unanswered: set[str]
    answer: "asyncio.Future[OriginAnswer]"
    has_same_table: bool = True


class OriginExchange:
    """Sends, receives and asks for origins of streams, at a router or replica.

    Args:
        origins: The origins that this instance knows.
        data_centre: Its data centre.
        replicas: Returns the live replicas that read these messages.
        send: Sends a message.
        files: A replica's files of origins, None at a router.
        digests: Returns the digests of the table of targets here.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        data_centre: str,
        replicas: Callable[[float], Sequence[Peer]],
        send: Callable[[Outgoing], None],
        files: OriginFiles | None,
        digests: Callable[[], TableDigests],
    ) -> None:
        self.origins = origins
        self._files = files
        self._digests = digests
        self._data_centre = data_centre
        self._replicas = replicas
        self._send = send
        self._numbers = count(1)
        self._questions: dict[int, _Question] = {}

    def record(
        self, key: bytes, origin: StreamOrigin, keep_seconds: float, now_seconds: float
    ) -> None:
        """Keep the origin of a stream that begins, and send it to two replicas.

        Args:
            key: The stream's key.
            origin: Its origin.
            keep_seconds: How long its caller may still resume it.
            now_seconds: The present time.
        """
        self.origins.record(key, origin, now_seconds + keep_seconds)
        rows = StreamOriginRows((_make_row(key, origin, keep_seconds),))
        for replica in choose_holders(
            key, self._replicas(now_seconds), self._data_centre
        ):
            self._send(Outgoing(replica, rows, urgent=True))

    async def ask(
        self, key: bytes, wait_seconds: float, now_seconds: float
    ) -> OriginAnswer:
        """Ask all replicas where a stream began.

        Args:
            key: The stream's key, empty if it has none.
            wait_seconds: How long to wait for their replies.
            now_seconds: The present time.
        """
        replicas = [one.instance_id for one in self._replicas(now_seconds)]
        if not replicas:
            return OriginAnswer(None, is_final=False)
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._questions[number] = _Question(set(replicas), answer)
        for replica in replicas:
            query = StreamOriginQuery(number, key)
            self._send(Outgoing(replica, query, urgent=True))
        try:
            async with asyncio.timeout(wait_seconds):
                return await answer
        except TimeoutError:
            return OriginAnswer(None, is_final=False)
        finally:
            del self._questions[number]

    def handle_rows(self, message: StreamOriginRows, now_seconds: float) -> None:
        """Keep the origins that a router sent."""
        self._record_rows(message.rows, now_seconds)
        if self._files is not None:
            self._files.append(message.rows)

    def read_files(self, now_seconds: float) -> None:
        """Keep the origins that the process before had on its disk.

        Nobody knows how long ago that was, so they are kept as long as new ones.
        """
        if self._files is None:
            return
        rows = self._files.read(now_seconds)
        self._record_rows(rows, now_seconds)
        logger.info("origins of streams read", extra={"rows": len(rows)})

    def tick(self, now_seconds: float) -> None:
        """Write new origins to the disk if that is due."""
        if self._files is not None:
            self._files.tick(now_seconds)

    async def stop(self, now_seconds: float) -> None:
        """Write all new origins to the disk."""
        if self._files is not None:
            await self._files.stop(now_seconds)

    def _record_rows(self, rows: Sequence[StreamOriginRow], now_seconds: float) -> None:
        for row in rows:
            keep_seconds = min(row.keep_milliseconds / 1000, MAX_KEEP_SECONDS)
            origin = StreamOrigin(row.service, row.software_version)
            self.origins.record(row.key, origin, now_seconds + keep_seconds)

    def handle_query(
        self, sender_id: str, query: StreamOriginQuery, now_seconds: float
    ) -> None:
        """Reply to a router's query, also if the stream is not known."""
        origin = self.origins.find(query.key, now_seconds)
        row = None if origin is None else _make_row(query.key, origin, 0.0)
        digests = self._digests()
        reply = StreamOriginReply(query.number, row, digests.rows, digests.versions)
        self._send(Outgoing(sender_id, reply, urgent=True))

    def handle_reply(self, sender_id: str, reply: StreamOriginReply) -> None:
        """Handle a replica's reply; one that comes too late is ignored."""
        question = self._questions.get(reply.number)
        if question is None or question.answer.done():
            return
        if reply.row is not None:
            origin = StreamOrigin(reply.row.service, reply.row.software_version)
            question.answer.set_result(OriginAnswer(origin, is_final=True))
            return
        question.unanswered.discard(sender_id)
        digests = TableDigests(reply.table_digest, reply.versions_digest)
        question.has_same_table &= digests == self._digests()
        if not question.unanswered:
            answer = OriginAnswer(None, True, question.has_same_table)
            question.answer.set_result(answer)

    def handle_started_replica(self, replica_id: str, now_seconds: float) -> None:
        """Send a replica that has just started, and knows nothing, the newest rows."""
        newest = self.origins.newest(MAX_ROWS_TO_PEER, now_seconds)
        rows = tuple(_make_row(*one) for one in newest)
        if rows:
            self._send(Outgoing(replica_id, StreamOriginRows(rows)))


def choose_holders(
    key: bytes, replicas: Sequence[Peer], data_centre: str
) -> Sequence[str]:
    """Return the two replicas that keep an origin, in two data centres if possible.

    Args:
        key: The stream's key, which spreads the rows evenly.
        replicas: The live replicas.
        data_centre: The data centre of the router that sends, preferred for the first.
    """
    if not replicas:
        return ()
    ordered = sorted(
        replicas, key=lambda one: xxh64_intdigest(key + one.instance_id.encode())
    )
    first = min(ordered, key=lambda one: one.data_centre != data_centre)
    others = [one for one in ordered if one is not first]
    if not others:
        return (first.instance_id,)
    second = min(others, key=lambda one: one.data_centre == first.data_centre)
    return first.instance_id, second.instance_id


def _make_row(key: bytes, origin: StreamOrigin, keep_seconds: float) -> StreamOriginRow:
    return StreamOriginRow(
        key, origin.service, origin.software_version, round(keep_seconds * 1000)
    )


def make_origin_exchange(
    origins: StreamOrigins,
    data_centre: str,
    replicas: Callable[[float], Sequence[Peer]],
    send: Callable[[Outgoing], None],
    files: OriginFiles | None,
    digests: Callable[[], TableDigests] = TableDigests,
) -> OriginExchange:
    """Return the exchange of an instance; see ``OriginExchange``."""
    return OriginExchange(origins, data_centre, replicas, send, files, digests)
