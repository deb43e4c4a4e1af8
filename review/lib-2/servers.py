"""Stand-ins for servers: they run requests, and send heartbeats as the pages say."""

import asyncio
import contextlib
import json
import socket
import time

from configs import DESK, POOL
from small_fleet import SIGNATURE, ZONES, Fleet, Record, call, read_body, read_head

BEAT_S = 1.2
WINDOW_BYTES = 8_192


class Request:
    """A request as a server read it."""

    def __init__(self, method: str, target: str, fields: dict, body: bytes) -> None:
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def request_id(self) -> str:
        return self.fields.get("x-sesameford-attempt-id", "")


class Server:
    """A server of one service; ``runs`` holds the id of each request that it ran."""

    def __init__(
        self, fleet: Fleet, record: Record, service: str, number: int, work_s: float
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.service = service
        self.name = f"i-{service}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.work_s = work_s
        self.events = 40
        self.pause_s = 0.02
        self.runs: list[tuple[float, Request]] = []
        self.sequence = 0
        self.state = "ready"
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Links have small windows: a peer that does not read blocks the writer.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind((f"127.{self.fleet.net}.1.1", self.port))
        self._server = await asyncio.start_server(self._serve, sock=listening)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._beat_regularly())

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.close()

    async def beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"127.{self.fleet.net}.1.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if self.service == POOL else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
        }
        for turn in range(len(self.fleet.replicas)):
            replica = self.fleet.replicas[
                (self.sequence + turn) % len(self.fleet.replicas)
            ]
            answer = await call(
                replica.control,
                "PUT",
                f"/v1/instances/{self.name}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
            )
            if 200 <= answer.status < 300:
                return True
        return False

    async def _beat_regularly(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError
        ):
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = b""
                if "content-length" in fields or "transfer-encoding" in fields:
                    body = await read_body(reader, fields)
                request = Request(method, target, fields, body)
                if not await self._handle(request, reader, writer):
                    break
        self.writers.discard(writer)
        self._tasks.discard(asyncio.current_task())
        writer.close()

    async def _handle(self, request, reader, writer) -> bool:
        expected = request.fields.get("x-sesameford-expect-instance", self.name)
        if expected != self.name:
            writer.write(head(421, request, {"Content-Length": "0"}))
            return True
        self.runs.append((time.monotonic(), request))
        return await self.respond(request, reader, writer)

    async def respond(self, request: Request, reader, writer) -> bool:
        """Answer a request that runs; return whether the connection is kept."""
        if self.service == POOL:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        body = plain_body(request)
        writer.write(head(200, request, {"Content-Length": str(len(body))}) + body)
        await writer.drain()
        return True

    async def stream(self, request: Request, writer) -> bool:
        """Send the events of a stream, after the one that the request names."""
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Sesameford-Weight-Versions": "1",
        }
        writer.write(head(200, request, fields))
        after = int(request.fields.get("last-event-id", "0"))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = make_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: piece-{number} of the answer\n\n".encode()


def plain_body(request: Request) -> bytes:
    """Return the body of the answer to a request, which names it."""
    return f"answer to {request.request_id} ".encode() + bytes(
        65 + n % 26 for n in range(800)
    )


def head(status: int, request: Request, fields: dict[str, str]) -> bytes:
    fields = {
        "X-Sesameford-Attempt-Id": request.request_id,
        SIGNATURE: f"signed-{request.request_id}-{status}",
        **fields,
    }
    lines = [f"HTTP/1.1 {status} Said", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


async def start_servers(
    fleet: Fleet, record: Record, pool: int = 2, desk: int = 2, make=Server
) -> list[Server]:
    """Start servers of both services, and wait until they are known."""
    servers = [make(fleet, record, POOL, n, 0.02) for n in range(pool)]
    servers += [make(fleet, record, DESK, n, 0.045) for n in range(desk)]
    for server in servers:
        await server.start()
    return servers
