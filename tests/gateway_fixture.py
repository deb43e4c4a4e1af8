"""A router in this process with faulty servers, and a client of it."""

from asyncio import create_task, get_running_loop
from contextlib import asynccontextmanager
from functools import partial
from random import Random
from time import monotonic

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from sesameford.connection_memory import make_connection_memory
from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.discovery.roster import Contact
from sesameford.effective import EffectiveTree
from sesameford.gateway.call_context import GatewayDeps, make_gateway_state
from sesameford.gateway.early_decision import make_early_decision
from sesameford.gateway.forward import make_sender, make_target_session
from sesameford.gateway.gateway_metrics import make_gateway_metrics
from sesameford.gateway.loop_lag import make_loop_lag
from sesameford.gateway.origin_exchange import make_origin_exchange
from sesameford.gateway.placement import make_placement
from sesameford.gateway.second_sends import make_second_sends
from sesameford.gateway.serve import serve_call
from sesameford.gateway.service_versions import make_service_versions
from sesameford.gateway.share_gate import make_share_gate
from sesameford.gateway.shed_calls import make_shedder
from sesameford.gateway.stream_origins import make_stream_origins
from sesameford.gateway.suspect_calls import make_suspect_calls
from sesameford.gateway.suspect_exchange import make_suspect_exchange
from sesameford.guard_limits import GuardLimits
from sesameford.guarded_connection import GuardCounts, is_crowded
from sesameford.http_ports import listen_calls
from sesameford.messages import HeartbeatRow, StreamOriginQuery, StreamOriginReply
from sesameford.operators_http import digest_of_key
from sesameford.regular_run import run_regularly
from sesameford.settings import Peer, RetryBudgetSettings
from sesameford.tables import TargetState
from sesameford.tree import effective_tree, parse_tree
from sesameford_platform.wire_adapter import make_wire_adapter
from standins.platform_server import make_platform_server

KEY = "the-clubs-key"
TREE = f"""
customers: {{children: {{club: {{key_digests: [{digest_of_key(KEY)}]}}}}}}
services: {{children: {{pool: {{}}}}}}
routes:
  host: desk.example
  timeout_seconds: 2
  backends: [{{service: pool, weight: 1}}]
  children:
    safe: {{path_prefix: /safe/, repeatable: true, attempts: 2}}
    unsafe: {{path_prefix: /unsafe/}}
    stream: {{path_prefix: /stream/, is_stream: true}}
    resumed:
      path_prefix: /stream/resumed/
      is_stream: true
      resumable: true
      attempts: 2
    open: {{path_prefix: /open/, public: true}}
    short: {{path_prefix: /short/, timeout_seconds: 0.2}}
"""


class Desk:
    """A router and its servers; ``ask`` sends one request as a client would."""

    def __init__(self, session, servers, table, deps):
        self.session = session
        self.servers = servers
        self.table = table
        self.deps = deps
        self.address = ""
        self.port = None
        self.memory = None
        self.is_leaving = False
        self.asked = 0

    def headers(self, **more):
        self.asked += 1
        return {
            "Host": "desk.example",
            "X-Sesameford-Attempt-Id": f"id-{self.asked}",
            "X-Sesameford-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
            **more,
        }

    async def ask(self, path, method="POST", body=b"notes", **more):
        async with self.session.request(
            method,
            f"http://{self.address}{path}",
            data=body,
            headers=self.headers(**more),
        ) as answer:
            return answer.status, await answer.read(), answer.headers

    @property
    def runs(self):
        return sum(sum(server.runs.values()) for server in self.servers)


def add_target(table, server):
    """Add a server's heartbeat to a router's table."""
    row = HeartbeatRow(
        server.target_id,
        1,
        "pool",
        server.address,
        "a",
        8,
        TargetState.READY,
        software_version="v1",
    )
    table.handle_heartbeat(row, monotonic())


REPLICA = Peer("p1", "a", "10.0.0.9:1", True)


def reply_as_replica(exchange, table, outgoing):
    """Answer a query at once, as a replica with the same table of targets does."""
    if isinstance(outgoing.message, StreamOriginQuery):
        reply = StreamOriginReply(
            outgoing.message.number, None, table.digests.rows, table.digests.versions
        )
        get_running_loop().call_soon(exchange.handle_reply, REPLICA.instance_id, reply)


@asynccontextmanager
async def open_desk(
    *faults,
    tree: EffectiveTree | None = None,
    limits: GuardLimits | None = None,
    heartbeat_seconds: float = 1000.0,
):
    """Start a router before one server for each fault."""
    limits, counts = limits or GuardLimits(), GuardCounts()
    table = make_heartbeat_table()
    servers = [make_platform_server(f"s{n}", fault) for n, fault in enumerate(faults)]
    for server in servers:
        await server.start()
        add_target(table, server)
    state = make_gateway_state(tree or effective_tree(parse_tree(TREE, "t"), 1))
    adapter = make_wire_adapter()
    metrics = make_gateway_metrics()
    targets = make_target_session(3.0, adapter, metrics)
    placement = make_placement(table, "a", heartbeat_seconds, Random(1))
    exchange = make_suspect_exchange(
        "r1", 300.0, False, lambda now_seconds: (), lambda outgoing: None
    )
    suspect_calls = make_suspect_calls(
        exchange, table, placement, heartbeat_seconds, monotonic, Random(1)
    )
    # As if a replica's digests had always just equalled those of the table.
    table.known_since_seconds = float("-inf")
    table.first_synchronised_at_seconds = float("-inf")
    table.synchronised_at_seconds = float("inf")
    origin_exchange = make_origin_exchange(
        make_stream_origins(),
        "a",
        lambda now_seconds: (REPLICA,),
        lambda outgoing: reply_as_replica(origin_exchange, table, outgoing),
        None,
        lambda: table.digests,
    )
    versions = make_service_versions(table, lambda now_seconds: Contact.ALL, 1.0)
    memory = make_connection_memory(state.tree.fleet.held_bodies_limit_bytes)
    deps = GatewayDeps(
        adapter,
        make_sender(targets, adapter),
        placement,
        make_share_gate(Random(1)),
        make_second_sends(RetryBudgetSettings()),
        make_loop_lag(),
        metrics,
        Random(1),
        lambda: state,
        lambda: 1.0,
        lambda: desk.is_leaving,
        partial(is_crowded, counts, limits),
        lambda: True,
        monotonic,
        get_running_loop().time,
        suspect_calls,
        origin_exchange,
        versions,
        memory.has_room_to_run,
    )
    port = await listen_calls(
        partial(serve_call, deps),
        "127.0.0.1:0",
        limits,
        counts,
        make_early_decision(deps),
        make_shedder(deps),
        memory,
    )
    host, number = port.server.sockets[0].getsockname()[:2]
    ticking = create_task(run_regularly(0.1, lambda: suspect_calls.tick(monotonic())))
    async with ClientSession(
        connector=TCPConnector(limit=0), cookie_jar=DummyCookieJar()
    ) as session:
        session._retry_connection = False
        desk = Desk(session, servers, table, deps)
        desk.address = f"{host}:{number}"
        desk.port = port
        desk.memory = memory
        try:
            yield desk
        finally:
            ticking.cancel()
            await port.stop()
            await targets.close()
            for server in servers:
                await server.stop()
