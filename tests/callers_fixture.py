"""The callers' port of one router in this process, with a small counting engine."""

from dataclasses import dataclass, field
from hashlib import sha256
from time import monotonic

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from opentelemetry.sdk.trace import TracerProvider

from sesameford.callers import CallersDeps, make_callers_app
from sesameford.http_ports import make_session
from sesameford.independent import make_independent_scheduler
from sesameford.members import make_members
from sesameford.messages import TargetAnnouncement
from sesameford.metrics import Metrics
from sesameford.relay import RelayDeps
from sesameford.router import Router
from sesameford.tables import TargetKind
from sesameford.target_replication import make_target_replication
from sesameford.targets import TargetRegistry
from sesameford.tree import effective_tree, parse_tree

KEY = "the-clubs-key"
TREE = f"""
customers:
  children:
    club:
      key_digests: [{sha256(KEY.encode()).hexdigest()}]
      limits: {{queued_requests: 3}}
    suspended:
      suspended: true
      key_digests: [{sha256(b"other").hexdigest()}]
models: {{children: {{letters: {{}}}}}}
services: {{children: {{roster: {{}}}}}}
"""


@dataclass
class Counts:
    """The requests that the engine and the service ran."""

    completions: list[dict] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)


class CallersPort:
    """A router without peers, with one engine and one service that count."""

    def __init__(
        self, body_limit_bytes: int = 100_000, body_timeout_seconds: float = 30.0
    ) -> None:
        self._body_timeout_seconds = body_timeout_seconds
        self.counts = Counts()
        self.rejection: dict[str, str] | None = None
        self.is_open = True
        self._body_limit_bytes = body_limit_bytes

    async def start(self) -> "CallersPort":
        self.targets = TestServer(self._make_targets())
        await self.targets.start_server()
        self.session = make_session(None)
        self.metrics = Metrics()
        self.router = Router(
            make_independent_scheduler("e1", 1, "a", 1),
            TargetRegistry(),
            make_members("e1", 1, "a"),
            self.metrics,
            lambda outgoing: None,
            monotonic,
        )
        self.router.configure(effective_tree(parse_tree(TREE, "tree.yaml"), 1))
        self.announce(TargetKind.MODEL, "letters")
        self.announce(TargetKind.SERVICE, "roster")
        tracer = TracerProvider().get_tracer("test")
        relay = RelayDeps(self.router, self.session, tracer, monotonic)
        deps = CallersDeps(
            relay,
            tracer,
            "e1",
            1,
            lambda: True,
            lambda: self.is_open,
            self._body_timeout_seconds,
        )
        app = make_callers_app(deps, self._body_limit_bytes)
        self.client = TestClient(TestServer(app))
        await self.client.start_server()
        return self

    def announce(self, kind: TargetKind, name: str) -> None:
        url = str(self.targets.make_url("")).rstrip("/")
        announcement = TargetAnnouncement(name, 1, 1, kind, (name,), url, "a", 8, 60.0)
        replication = make_target_replication(self.router.registry, "e1", 1, False)
        replication.handle_announcement(announcement, monotonic())
        self.router.tick()

    async def close(self) -> None:
        await self.client.close()
        await self.session.close()
        await self.targets.close()

    def _make_targets(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _complete(self, http: web.Request) -> web.Response:
        body = await http.json()
        self.counts.completions.append(body)
        text = (
            'id: 0\ndata: {"choices":[{"index":0,"text":"Dear "}]}\n\n'
            'id: 1\ndata: {"choices":[{"index":0,"text":"fans","finish_reason":'
            '"stop"}]}\n\nid: 2\ndata: {"choices":[],"usage":{"prompt_tokens":3,'
            '"completion_tokens":2}}\n\nid: 3\ndata: [DONE]\n\n'
        )
        return web.Response(text=text, content_type="text/event-stream")

    async def _call(self, http: web.Request) -> web.Response:
        self.counts.calls.append(f"{http.method} {http.raw_path}")
        if self.rejection is not None:
            return web.Response(status=503, headers=self.rejection)
        return web.Response(text="lookup")
