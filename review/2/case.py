"""A late second copy of a rejection is taken for the answer to the next request.

Three servers of a desk service, two routers, clumps of requests that may run once.
A server rejects what exceeds its slots and its short queue, as the pages say. One of
the three servers has a fault: for five seconds at a time it sends 3 in 100 of its
answers once more, at the point where the next response is expected.
"""

import asyncio
import random
from pathlib import Path
from time import monotonic

from fleet import (
    Fleet,
    Record,
    Server,
    call,
    client_headers,
    configuration,
    encode_answer,
    header_of,
    new_id,
    run_case,
)

SERVERS = 3
SLOTS = 6
QUEUE = 2
CLUMP_REQUESTS = 36
CLUMP_SECONDS = 0.3
# Doses of the fault: its length, the share of the servers and of their answers.
FAULT_SECONDS = 5.0
PAUSE_SECONDS = 3.0
FAULTS = 8
FAULTY_SERVERS = 1
REPEATED_PART = 0.03


class DeskServer(Server):
    """A server with slots and a short queue, which may send an answer once more."""

    in_work: int = 0
    is_faulty: bool = False
    repeated: int = 0


async def answer_request(server, first, headers, body, writer) -> bool:
    """Run a request or reject it; a faulty server repeats some of its answers."""
    late = getattr(writer, "late_copy", b"")
    if late:
        # An extra response arrives late, where the next response is expected.
        writer.late_copy = b""
        server.repeated += 1
        server.record.write(f"server {server.server_id} sends {late[1]} once more")
        writer.write(late[0])
        await writer.drain()
    request_id = header_of(headers, "X-Sesameford-Attempt-Id") or ""
    if header_of(headers, "X-Sesameford-Expect-Instance") != server.server_id:
        extra = [("X-Sesameford-Not-Executed", "1")]
        answer = encode_answer(server, 421, request_id, extra=extra)
        what = f"its 421 to {request_id}"
    elif server.in_work >= SLOTS + QUEUE:
        extra = [("X-Sesameford-Not-Executed", "1")]
        answer = encode_answer(server, 503, request_id, extra=extra)
        what = f"its 503 to {request_id}"
    else:
        server.in_work += 1
        try:
            async with server.places:
                server.count_run(request_id, first, headers, body)
                await asyncio.sleep(server.work_seconds)
        finally:
            server.in_work -= 1
        answer = encode_answer(server, 200, request_id, b"sent")
        what = f"its 200 to {request_id}"
    writer.write(answer)
    await writer.drain()
    if server.is_faulty and random.random() < REPEATED_PART:
        writer.late_copy = (answer, what)
    return True


class Clients:
    """Clients that send clumps of requests and ask once more after a promise."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self.statuses: dict[str, int] = {}
        self.again: dict[str, str] = {}

    async def send(self, router: int) -> None:
        """Send a request, and the same work again if it was promised not to run."""
        request_id = new_id()
        status, wait_seconds = await self._send_once(request_id, router)
        if status in (429, 503):
            second_id = new_id()
            self.again[request_id] = second_id
            await asyncio.sleep(min(wait_seconds, 0.8))
            await self._send_once(second_id, router + 1)

    async def _send_once(self, request_id: str, router: int) -> tuple[int, float]:
        front = self._fleet.routers[router % len(self._fleet.routers)].front
        headers = client_headers(request_id)
        answer = await call(front, "POST", "/roster/mailing", headers, b"{}", 2.5)
        self.statuses[request_id] = answer.status
        return answer.status, float(answer.header("Retry-After") or 0.1)


async def case(record: Record, trouble: bool) -> bool:
    """Compare the statuses of answers with the runs at the servers."""
    fleet = Fleet(record, routers=2)
    try:
        servers = [
            DeskServer(f"i-desk-{n}", "club-desk", f"hall-{'abc'[n]}", record, SLOTS)
            for n in range(SERVERS)
        ]
        for server in servers:
            server.answer = answer_request
            server.places = asyncio.Semaphore(SLOTS)
        fleet.servers.extend(servers)
        await fleet.start_all(configuration())
        clients = Clients(fleet, record)
        tasks = set()
        for number in range(FAULTS):
            for server in random.sample(servers, FAULTY_SERVERS):
                server.is_faulty = trouble
                record.write(f"fault {number + 1} at {server.server_id}: {trouble}")
            until = monotonic() + FAULT_SECONDS
            pause_until = until + PAUSE_SECONDS
            while monotonic() < pause_until:
                if monotonic() > until:
                    for server in servers:
                        server.is_faulty = False
                for one in range(CLUMP_REQUESTS):
                    tasks.add(asyncio.create_task(clients.send(one)))
                await asyncio.sleep(CLUMP_SECONDS)
        await asyncio.gather(*tasks)
        return _judge(record, servers, clients)
    finally:
        await fleet.close()


def _judge(record: Record, servers: list[DeskServer], clients: Clients) -> bool:
    """Write what was answered and run; return whether a promise was false."""
    runs: dict[str, int] = {}
    for server in servers:
        for request_id, count in server.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    refused_and_run = 0
    doubled = 0
    for request_id, status in clients.statuses.items():
        ran = runs.get(request_id, 0)
        record.note(f"sent {request_id}, answered {status}, ran {ran}")
        if status in (408, 421, 429, 503) and ran:
            refused_and_run += 1
            second_id = clients.again.get(request_id, "")
            second = runs.get(second_id, 0)
            doubled += bool(second)
            record.write(
                f"REFUSED broken: {request_id} answered {status}, ran {ran};"
                f" asked again as {second_id or 'nothing'}, ran {second}"
            )
        elif ran > 1:
            record.write(f"TWICE broken: {request_id} ran {ran} times")
    counts: dict[int, int] = {}
    for status in clients.statuses.values():
        counts[status] = counts.get(status, 0) + 1
    repeated = sum(server.repeated for server in servers)
    record.write(f"requests by status: {dict(sorted(counts.items()))}")
    record.write(f"runs: {sum(runs.values())}; answers sent once more: {repeated}")
    record.write(
        f"answered 503 though they ran: {refused_and_run}; done twice: {doubled}"
    )
    return refused_and_run > 0


run_case(case, Path(__file__).resolve().parent)
