"""A stand-in for a model engine that sends one event per token, in small bursts.

``python -m standins.engine --port 9001 --target-id e1 --data-centre a --models m1``
"""

import asyncio
import json
import os
import time
from argparse import Namespace
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from aiohttp import web
from msgspec.json import encode

from standins.batch import Batch, LaggingLoad, PrefixCache, Progress
from standins.marks import Marks, answer_text, prompt_of, read_marks
from standins.partition import Partition
from standins.shell import make_parser, open_journal, run_target

CRASH_EXIT_CODE = 70
_MAX_STORED_STREAMS = 2_000
_LOAD_SAMPLE_SECONDS = 0.1
_SILENT_AFTER_EVENTS = 2
_ORDER_KINDS = ("load", "unload", "adapter", "version", "role")


@dataclass(slots=True)
class _Stream:
    """The events of one attempt, stored so that its stream can be resumed."""

    attempt_id: str
    marks: Marks
    model: str
    cached_tokens: int
    chat: bool
    events: list[bytes] = field(default_factory=list)
    output_tokens: int = 0
    is_over: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify_readers(self) -> None:
        """Wake all readers, and reset the event for their next wait."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """The HTTP interface of a batch, a prefix cache and the counts."""

    def __init__(self, options: Namespace) -> None:
        self.models = set(options.models.split(","))
        self.batch = Batch(
            options.capacity,
            options.tokens_per_second,
            options.prompt_tokens_per_second,
            options.event_seconds,
        )
        self._cache = PrefixCache(options.cache_blocks)
        self._load = LaggingLoad(options.load_lag_seconds)
        self._waiting_limit = options.waiting_limit
        self._checks_fencing = options.checks_fencing
        self._load_seconds = options.load_seconds
        self._record_start = open_journal(options)
        self._streams: dict[str, _Stream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._kv: dict[str, bytes] = {}
        self._fencing_number = 0
        self._orders: dict[str, dict[str, Any]] = {}
        self._runs: dict[str, Counter[str]] = {}
        self._service: dict[str, Counter[str]] = {}
        self._refuse_next = 0
        self._partition = Partition()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64_000_000)
        app.add_routes(
            [
                web.post("/v1/completions", self._complete),
                web.post("/v1/chat/completions", self._complete),
                web.get("/v1/streams/{attempt_id}", self._resume),
                web.delete("/v1/streams/{attempt_id}", self._cancel),
                web.get("/load", self._report_load),
                web.get("/cache-events", self._report_cache_events),
                web.post("/orders", self._handle_order),
                web.get("/kv/{prefix}", self._export_kv),
                web.put("/kv/{prefix}", self._import_kv),
                web.get("/counts", self._report_counts),
                web.post("/faults", self._set_faults),
            ]
        )
        app.on_startup.append(self._start_sampling)
        return app

    def is_busy(self) -> bool:
        """Return whether anything runs or waits."""
        return bool(self.batch.running or self.batch.waiting)

    async def _start_sampling(self, _app: web.Application) -> None:
        """Sample the load periodically for the delayed report."""
        loop = asyncio.get_running_loop()

        def sample() -> None:
            self._load.record(self.batch.running, self.batch.waiting, time.monotonic())
            loop.call_later(_LOAD_SAMPLE_SECONDS, sample)

        sample()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        """Run a completion, always streamed."""
        attempt_id = request.headers.get("X-Attempt-Id") or os.urandom(8).hex()
        await self._partition.wait_until_reachable(attempt_id)
        body = json.loads(await request.read())
        prompt = prompt_of(body)
        marks = read_marks(prompt, body.get("max_tokens"))
        model = str(body.get("model"))
        full = self.batch.waiting >= self._waiting_limit
        if full or self._refuse_next or "refuse" in marks.flags:
            self._refuse_next = max(0, self._refuse_next - 1)
            return _make_not_started_response("busy")
        if model not in self.models:
            return _make_not_started_response(f"model {model} is not loaded")
        if attempt_id in self._streams:
            return web.json_response({"error": "this attempt id has run"}, status=409)
        now_seconds = time.monotonic()
        cached_tokens = self._cache.use(prompt, now_seconds)
        chat = request.path.endswith("/chat/completions")
        stream = _Stream(attempt_id, marks, model, cached_tokens, chat)
        self._streams[attempt_id] = stream
        self._remove_old_streams()
        self._runs.setdefault(marks.mark, Counter())["started"] += 1
        self._record_start(marks.mark)
        uncached = max(0, marks.prompt_tokens - cached_tokens)
        self.batch.submit(attempt_id, uncached, marks.output_tokens, now_seconds)
        self._schedule()
        max_events = _SILENT_AFTER_EVENTS if "silent" in marks.flags else None
        return await self._relay(request, stream, 0, max_events)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        """Resume a stream after the last event that the reader received."""
        attempt_id = request.match_info["attempt_id"]
        await self._partition.wait_until_reachable(attempt_id)
        stream = self._streams.get(attempt_id)
        if stream is None:
            return web.json_response({"error": "unknown stream"}, status=404)
        position = int(request.headers.get("Last-Event-ID", "-1")) + 1
        return await self._relay(request, stream, position, None)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel a run; a finished one is not an error."""
        attempt_id = request.match_info["attempt_id"]
        await self._partition.wait_until_reachable(attempt_id)
        stream = self._streams.get(attempt_id)
        if stream is None:
            return web.json_response({"error": "unknown stream"}, status=404)
        self._advance()
        if self.batch.cancel(stream.attempt_id, time.monotonic()):
            self._runs[stream.marks.mark]["cancelled"] += 1
            stream.is_over = True
            stream.notify_readers()
            self._schedule()
        return web.Response(status=204)

    async def _relay(
        self,
        request: web.Request,
        stream: _Stream,
        position: int,
        max_events: int | None,
    ) -> web.StreamResponse:
        """Write the events from a position until the stream is over."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while True:
            changed = stream.changed
            await self._partition.wait_until_reachable(stream.attempt_id)
            if max_events is not None and len(stream.events) > max_events:
                await response.write(b"".join(stream.events[position:max_events]))
                await asyncio.sleep(3600)
            if position < len(stream.events):
                chunk = b"".join(stream.events[position:])
                position = len(stream.events)
                await response.write(chunk)
            if stream.is_over and position >= len(stream.events):
                break
            if stream.changed is changed:
                await changed.wait()
        await response.write_eof()
        return response

    def _schedule(self) -> None:
        """Set the timer to the next progress of the batch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_seconds = self.batch.next_due_seconds()
        if due_seconds is not None:
            delay = max(0.0, due_seconds - time.monotonic())
            self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        """Process the progress of the batch and set the next timer."""
        self._advance()
        self._schedule()

    def _advance(self) -> None:
        """Convert the progress of the batch to events."""
        for progress in self.batch.advance(time.monotonic()):
            stream = self._streams[progress.attempt_id]
            if "crash" in stream.marks.flags:
                os._exit(CRASH_EXIT_CODE)
            self._append(stream, progress)
            stream.notify_readers()

    def _append(self, stream: _Stream, progress: Progress) -> None:
        """Add the events of one step of a run, and account its service."""
        marks = stream.marks
        service = self._service.setdefault(marks.customer, Counter())
        if not stream.output_tokens:
            service["prompt_tokens"] += marks.prompt_tokens
            service["cached_prompt_tokens"] += stream.cached_tokens
        service["output_tokens"] += progress.output_tokens - stream.output_tokens
        for position in range(stream.output_tokens, progress.output_tokens):
            is_last = progress.finished and position + 1 == progress.output_tokens
            text = answer_text(marks.mark, position, position + 1)
            choice: dict[str, Any] = {"index": 0}
            choice |= {"delta": {"content": text}} if stream.chat else {"text": text}
            choice["finish_reason"] = "stop" if is_last else None
            _add_event(stream, {"model": stream.model, "choices": [choice]})
        stream.output_tokens = progress.output_tokens
        if progress.finished:
            self._finish(stream)

    def _finish(self, stream: _Stream) -> None:
        """Add the usage event and the end-of-stream event."""
        usage = {
            "prompt_tokens": stream.marks.prompt_tokens,
            "completion_tokens": stream.output_tokens,
            "total_tokens": stream.marks.prompt_tokens + stream.output_tokens,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        }
        _add_event(stream, {"model": stream.model, "choices": [], "usage": usage})
        stream.events.append(b"id: %d\ndata: [DONE]\n\n" % len(stream.events))
        stream.is_over = True
        self._runs[stream.marks.mark]["completed"] += 1
        self._service[stream.marks.customer]["completed"] += 1

    def _remove_old_streams(self) -> None:
        """Remove the oldest finished streams beyond the limit."""
        surplus = len(self._streams) - _MAX_STORED_STREAMS
        if surplus > 0:
            finished = [key for key, stream in self._streams.items() if stream.is_over]
            for key in finished[:surplus]:
                del self._streams[key]

    async def _report_load(self, _request: web.Request) -> web.Response:
        """Report the load with the configured lag."""
        running, waiting, age = self._load.report(time.monotonic())
        return web.json_response(
            {
                "running": running,
                "waiting": waiting,
                "capacity_slots": self.batch.capacity_slots,
                "age_seconds": age,
            }
        )

    async def _report_cache_events(self, request: web.Request) -> web.Response:
        """Report stored and evicted prefixes, late and with gaps."""
        after = int(request.query.get("after", "0"))
        events = self._cache.events(after, time.monotonic())
        return web.json_response({"events": [asdict(event) for event in events]})

    async def _handle_order(self, request: web.Request) -> web.Response:
        """Load or unload a model, or set an adapter, version or role."""
        order = json.loads(await request.read())
        if order["order_id"] in self._orders:
            return web.json_response({"status": "done before"})
        if order["kind"] not in _ORDER_KINDS:
            return web.json_response({"error": "unknown kind"}, status=400)
        if self._checks_fencing and order["fencing_number"] < self._fencing_number:
            return web.json_response(
                {"error": "old fencing number"},
                status=409,
                headers={"X-Refused": "fencing"},
            )
        self._fencing_number = max(self._fencing_number, order["fencing_number"])
        self._orders[order["order_id"]] = order
        if order["kind"] == "load":
            await asyncio.sleep(self._load_seconds)
            self.models.add(order["subject"])
        elif order["kind"] == "unload":
            self.models.discard(order["subject"])
        return web.json_response({"status": "done"})

    async def _export_kv(self, request: web.Request) -> web.Response:
        """Return the KV cache of a prefix."""
        prefix = request.match_info["prefix"]
        if prefix not in self._cache:
            return web.json_response({"error": "not cached"}, status=404)
        return web.Response(body=self._kv.get(prefix, prefix.encode()))

    async def _import_kv(self, request: web.Request) -> web.Response:
        """Store the KV cache of a prefix."""
        prefix = request.match_info["prefix"]
        self._kv[prefix] = await request.read()
        self._cache.store(prefix, time.monotonic())
        return web.Response(status=204)

    async def _report_counts(self, request: web.Request) -> web.Response:
        """Report the runs by customer, and by mark unless ``?marks=0``."""
        self._tick()
        report: dict[str, Any] = {
            "kind": "model",
            "capacity_slots": self.batch.capacity_slots,
            "busy_slot_seconds": self.batch.busy_slot_seconds,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "service": self._service,
            "orders": list(self._orders.values()),
        }
        if request.query.get("marks") != "0":
            report["marks"] = self._runs
        return web.json_response(report)

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Set ``refuse_next``, a number, and ``cut_off``, a list of instances."""
        faults = json.loads(await request.read())
        self._refuse_next = int(faults.get("refuse_next", 0))
        self._partition.isolate(faults.get("cut_off", ()))
        return web.Response(status=204)


def _add_event(stream: _Stream, data: dict[str, Any]) -> None:
    """Append one server-sent event with its number as id."""
    event = b"id: %d\ndata: %s\n\n" % (len(stream.events), encode(data))
    stream.events.append(event)


def _make_not_started_response(reason: str) -> web.Response:
    """Return a refusal whose header proves that nothing was started."""
    return web.json_response(
        {"error": reason}, status=503, headers={"X-Not-Started": "true"}
    )


def main() -> None:
    """Run a stand-in engine until SIGTERM."""
    parser = make_parser("A stand-in for a model engine.")
    parser.add_argument("--models", required=True, help="names, separated by commas")
    parser.add_argument(
        "--tokens-per-second", type=float, default=200.0, help="of each request"
    )
    parser.add_argument("--prompt-tokens-per-second", type=float, default=20_000.0)
    parser.add_argument("--event-seconds", type=float, default=0.05)
    parser.add_argument("--cache-blocks", type=int, default=512)
    parser.add_argument("--waiting-limit", type=int, default=64)
    parser.add_argument("--load-lag-seconds", type=float, default=1.0)
    parser.add_argument("--load-seconds", type=float, default=0.5)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    engine = Engine(options)
    models = tuple(options.models.split(","))
    run_target(options, "model", models, engine.make_app(), engine.is_busy)


if __name__ == "__main__":
    main()
