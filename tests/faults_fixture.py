"""Routers in this process, and stand-in targets behind fault proxies."""

from argparse import Namespace
from asyncio import create_task, sleep
from collections import Counter
from contextlib import asynccontextmanager
from hashlib import sha256
from time import monotonic, time

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from opentelemetry.sdk.trace import TracerProvider

from sesameford.callers import CallersDeps, make_callers_app
from sesameford.claims import ClaimsMachine
from sesameford.errors import NoQuorumError
from sesameford.http_ports import make_session
from sesameford.independent import make_independent_scheduler
from sesameford.keyed import KeyedPorts, KeyedRequests
from sesameford.members import make_members
from sesameford.messages import SuspectUpdate, TargetAnnouncement
from sesameford.metrics import Metrics
from sesameford.outcomes import Outcomes
from sesameford.relay import RelayDeps
from sesameford.router import Router
from sesameford.tables import TargetKind
from sesameford.target_replication import make_target_replication
from sesameford.targets import TargetRegistry
from sesameford.tree import effective_tree, parse_tree
from standins.engine import Engine
from standins.fault_proxy import FaultProxy
from standins.service import Service

KEY = "the-clubs-key"
GOOD_KEY = {"Authorization": f"Bearer {KEY}"}
TREE = f"""
fleet: {{silence_seconds: 0.2, retry_budget_fraction: 1.0}}
customers:
  children:
    club:
      key_digests: [{sha256(KEY.encode()).hexdigest()}]
      deadline_seconds: 5
models: {{children: {{letters: {{}}}}}}
services:
  children:
    roster:
      routes:
        - {{method: GET, path_prefix: /draw, repeatable: false}}
"""


class FakeLog:
    """A log of one replica, which can be made unreachable."""

    def __init__(self):
        self.machine = ClaimsMachine()
        self.index = 0
        self.reachable = True
        self.results = {}

    async def propose(self, proposal_id, machine, command):
        if not self.reachable:
            raise NoQuorumError("cut off")
        if proposal_id not in self.results:
            self.index += 1
            self.results[proposal_id] = self.machine.apply(self.index, command)
        return self.results[proposal_id]


class TargetAtProxy:
    """A target and the proxy through which all routers connect to it."""

    def __init__(self, target_id, kind, name, app, incarnation=1):
        self.target_id, self.kind, self.name = target_id, kind, name
        self.server = TestServer(app)
        self.incarnation = incarnation

    async def start(self):
        await self.server.start_server()
        self.proxy = FaultProxy("127.0.0.1", self.server.port)
        self.port = await self.proxy.start()

    async def close(self):
        await self.proxy.stop()
        await self.server.close()


class RouterAtProxies:
    """One router and its port for callers."""

    def __init__(self, router_id, world):
        self.router_id, self.world = router_id, world

    async def start(self):
        self.session = make_session(None)
        self.router = Router(
            make_independent_scheduler(self.router_id, 1, "a", 1),
            TargetRegistry(),
            make_members("e1", 1, "a"),
            Metrics(),
            lambda outgoing: None,
            monotonic,
        )
        self.outcomes = Outcomes(7, self.world.deliver_updates)
        self.keyed = KeyedRequests(
            self.router_id,
            1,
            KeyedPorts(
                self.world.log.propose, self.world.query_owner, self.world.sleep, time
            ),
        )
        self.outcomes.keyed = self.keyed
        self.router.registry.set_replacement_callback(
            self.outcomes.record_target_replacement
        )
        tree = effective_tree(parse_tree(TREE, "tree.yaml"), 1)
        self.router.configure(tree)
        self.outcomes.configure(tree)
        tracer = TracerProvider().get_tracer("test")
        self.relay = RelayDeps(
            self.router, self.session, tracer, monotonic, self.outcomes
        )
        deps = CallersDeps(
            self.relay, tracer, self.router_id, 1, lambda: True, lambda: True
        )
        server = TestServer(make_callers_app(deps, 100_000))
        self.client = TestClient(server)
        await self.client.start_server()
        self.ticking = create_task(self.run_ticks())

    async def run_ticks(self):
        while True:
            await sleep(0.02)
            self.router.tick()
            self.outcomes.tick(frozenset(), monotonic())

    def announce(self, target, sequence=1):
        announcement = TargetAnnouncement(
            target.target_id,
            target.incarnation,
            sequence,
            target.kind,
            (target.name,),
            f"http://127.0.0.1:{target.port}",
            "a",
            8,
            60.0,
        )
        replication = make_target_replication(self.router.registry, "e1", 1, False)
        replication.handle_announcement(announcement, monotonic())
        self.router.tick()

    async def close(self):
        self.ticking.cancel()
        await self.client.close()
        await self.keyed.close()
        await self.session.close()


class World:
    """Routers, targets and a log."""

    def __init__(self):
        self.routers, self.targets = [], []
        self.log = FakeLog()
        self.deaths = Counter()

    def deliver_updates(self, outgoing):
        if isinstance(outgoing.message, SuspectUpdate):
            for router in self.routers:
                router.outcomes.merge_suspect_update(outgoing.message, monotonic())

    async def query_owner(self, owner, claim_index):
        for router in self.routers:
            if router.router_id == owner.router_id:
                return router.keyed.report_run_state(owner, claim_index)
        return None

    async def sleep(self, seconds):
        await sleep(min(seconds, 0.05))

    async def add_engine(self, target_id="engine", **options):
        engine_options = {
            "models": "letters",
            "capacity": 8,
            "tokens_per_second": 400.0,
            "prompt_tokens_per_second": 20_000.0,
            "event_seconds": 0.02,
            "cache_blocks": 64,
            "load_lag_seconds": 1.0,
            "waiting_limit": 64,
            "checks_fencing": False,
            "load_seconds": 0.1,
            **options,
        }
        engine = Engine(Namespace(**engine_options))
        app = engine.make_app()
        target = TargetAtProxy(target_id, TargetKind.MODEL, "letters", app)
        await self._add(target)
        return engine, target

    async def add_service(self, target_id="service"):
        service = Service(Namespace(capacity=8, waiting_limit=64))
        app = service.make_app()
        target = TargetAtProxy(target_id, TargetKind.SERVICE, "roster", app)
        await self._add(target)
        return service, target

    async def add_handler(self, target_id, handler, kind=TargetKind.SERVICE):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        name = "roster" if kind is TargetKind.SERVICE else "letters"
        target = TargetAtProxy(target_id, kind, name, app)
        await self._add(target)
        return target

    async def _add(self, target):
        await target.start()
        self.targets.append(target)
        for router in self.routers:
            router.announce(target)


@asynccontextmanager
async def open_world(routers=1):
    world = World()
    for number in range(routers):
        router = RouterAtProxies(f"e{number}", world)
        world.routers.append(router)
        await router.start()
    try:
        yield world
    finally:
        for part in (*world.routers, *world.targets):
            await part.close()
