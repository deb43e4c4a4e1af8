"""A stand-in for a plain service.

``python -m standins.service --port 9101 --target-id s1 --data-centre a --serves x``

It echoes each call. The query or a JSON body may hold ``mark`` (the name of the call
in the counts), ``customer`` (whose service the time is counted as) and ``delay`` in
seconds. ``POST .../mailing`` sends a mailing, which must not be sent twice.
"""

import asyncio
import json
import os
import time
from argparse import Namespace
from collections import Counter
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from standins.partition import Partition
from standins.shell import make_parser, open_journal, run_target

CRASH_EXIT_CODE = 70


class Service:
    """The HTTP interface of a plain service and its counts."""

    def __init__(self, options: Namespace) -> None:
        self._capacity_slots = options.capacity
        self._slots = asyncio.Semaphore(options.capacity)
        self._waiting_limit = options.waiting_limit
        self._record_start = open_journal(options)
        self._waiting = 0
        self._running: dict[int, float] = {}
        self._busy_slot_seconds = 0.0
        self._calls: dict[str, Counter[str]] = {}
        self._service: dict[str, Counter[str]] = {}
        self._mailings: list[str] = []
        self._refuse_next = 0
        self._partition = Partition()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_get("/counts", self._report_counts)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    def is_busy(self) -> bool:
        """Return whether a call runs or waits."""
        return bool(self._running or self._waiting)

    async def _call(self, request: web.Request) -> web.Response:
        """Echo one call."""
        attempt_id = request.headers.get("X-Attempt-Id", "")
        await self._partition.wait_until_reachable(attempt_id)
        body = await request.read()
        fields = {**_read_json_fields(body), **request.query}
        if self._refuse_next or self._waiting >= self._waiting_limit:
            self._refuse_next = max(0, self._refuse_next - 1)
            return web.json_response(
                {"error": "busy"}, status=503, headers={"X-Not-Started": "true"}
            )
        mark = str(fields.get("mark") or attempt_id)
        if fields.get("crash"):
            os._exit(CRASH_EXIT_CODE)
        calls = self._calls.setdefault(mark, Counter())
        calls["started"] += 1
        self._record_start(mark)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        started_at_seconds = time.monotonic()
        self._running[id(request)] = started_at_seconds
        customer = str(fields.get("customer", ""))
        try:
            if request.method == "POST" and request.path.endswith("/mailing"):
                self._mailings.append(mark)
            await asyncio.sleep(float(fields.get("delay", 0.0)))
        finally:
            self._slots.release()
            del self._running[id(request)]
            elapsed = time.monotonic() - started_at_seconds
            self._busy_slot_seconds += elapsed
            service = self._service.setdefault(customer, Counter())
            service["service_microseconds"] += round(elapsed * 1e6)
        await self._partition.wait_until_reachable(attempt_id)
        calls["completed"] += 1
        service["completed"] += 1
        return web.json_response(
            {
                "method": request.method,
                "path": request.path,
                "query": dict(request.query),
                "body": body.decode("utf-8", "replace"),
                "mark": mark,
            }
        )

    async def _report_counts(self, request: web.Request) -> web.Response:
        """Report the calls by customer, and by mark unless ``?marks=0``."""
        now_seconds = time.monotonic()
        running_seconds = sum(
            now_seconds - started_seconds for started_seconds in self._running.values()
        )
        report: dict[str, Any] = {
            "kind": "service",
            "capacity_slots": self._capacity_slots,
            "busy_slot_seconds": self._busy_slot_seconds + running_seconds,
            "running": len(self._running),
            "waiting": self._waiting,
            "service": self._service,
            "mailings": self._mailings,
        }
        if request.query.get("marks") != "0":
            report["marks"] = self._calls
        return web.json_response(report)

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Set ``refuse_next``, a number, and ``cut_off``, a list of instances."""
        faults = json.loads(await request.read())
        self._refuse_next = int(faults.get("refuse_next", 0))
        self._partition.isolate(faults.get("cut_off", ()))
        return web.Response(status=204)


def _read_json_fields(body: bytes) -> Mapping[str, Any]:
    """Return the fields of a JSON object, or an empty mapping for other bodies."""
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def main() -> None:
    """Run a stand-in service until SIGTERM."""
    parser = make_parser("A stand-in for a plain service.")
    parser.add_argument("--serves", required=True, help="names, separated by commas")
    parser.add_argument("--waiting-limit", type=int, default=64)
    options = parser.parse_args()
    service = Service(options)
    serves = tuple(options.serves.split(","))
    run_target(options, "service", serves, service.make_app(), service.is_busy)


if __name__ == "__main__":
    main()
