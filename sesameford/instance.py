"""One instance of the system: it composes the parts and runs their periodic tasks."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, time, time_ns
from typing import Any
from zlib import crc32

from aiohttp import ClientSession, web
from opentelemetry.sdk.trace import TracerProvider

from sesameford.callers import CallersDeps, make_callers_app
from sesameford.claims import ClaimsMachine
from sesameford.connection_memory import (
    DAEMON_BYTES,
    limit_of_memory,
    make_connection_memory,
)
from sesameford.effective import EffectiveTree
from sesameford.errors import SettingsError
from sesameford.fencing import FencingMachine
from sesameford.guard_limits import limits_of_descriptors
from sesameford.held_answers import make_held_bytes
from sesameford.http_ports import listen, make_session
from sesameford.inbox import InboxDeps, make_inbox
from sesameford.instance_status import InstanceSummary, make_status, quarantine_of
from sesameford.keyed import KeyedPorts, KeyedRequests
from sesameford.link_key import load_link_key
from sesameford.log_service import make_log_service
from sesameford.members import make_members
from sesameford.messages import Message, Outgoing, TargetAnnouncement
from sesameford.metrics import Metrics
from sesameford.operators import OperatorsDeps, make_operators_routes
from sesameford.order_service import OrderDeps, make_order_service
from sesameford.outcomes import Outcomes
from sesameford.overlay import make_overlay, make_topology
from sesameford.owner_queries import OwnerQueries
from sesameford.peers import PeerLinks
from sesameford.planned_stop import PlannedStop
from sesameford.processor_time import ProcessorTime
from sesameford.regular_run import run_regularly
from sesameford.relay import RelayDeps
from sesameford.router import Router
from sesameford.schedulers import make_fleet_scheduler
from sesameford.settings import DaemonSettings
from sesameford.state_machine import StateMachine
from sesameford.status import StatusReport
from sesameford.stop_bound import make_stop_bound, make_stopping_error
from sesameford.stops import StopLoad, StopStep
from sesameford.tables import InstanceState
from sesameford.target_replication import make_target_replication
from sesameford.targets import TargetRegistry
from sesameford.tls import (
    TlsFiles,
    make_client_context,
    make_reloader,
    make_server_context,
    read_files,
)
from sesameford.traces import make_tracer, make_tracer_provider
from sesameford.tree_changes import HistoryEntry, TreeMachine
from sesameford.tree_holder import TreeHolderDeps, make_tree_holder
from sesameford.voters import desired_voters

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.0
# A hub's heartbeats also carry the state that it relays, which must stay recent.
HUB_HEARTBEAT_SECONDS = 0.5
TLS_RELOAD_SECONDS = 5.0
CALLERS_BODY_LIMIT_BYTES = 16_000_000
OPERATORS_BODY_LIMIT_BYTES = 64_000_000
# Those of callers and of operators share the descriptors of the process.
PORTS_FOR_CALLERS = 2


@dataclass(frozen=True, slots=True)
class _Contexts:
    """TLS contexts for HTTP; None without TLS."""

    server: Any = None
    client: Any = None


class Instance:
    """Composes the parts of one instance and runs their periodic tasks."""

    def __init__(self, settings: DaemonSettings, source: str) -> None:
        self._settings = settings
        self._source = source
        self.incarnation = time_ns() // 1_000_000
        # The event loop's clock is not used: it is constant within one iteration and
        # has a resolution of milliseconds.
        self._now: Callable[[], float] = monotonic
        self._control_time = ProcessorTime()
        self.metrics = Metrics()
        self.registry = TargetRegistry()
        hub_ids = [peer.instance_id for peer in settings.peers if peer.is_hub]
        self.targets = make_target_replication(
            self.registry,
            settings.instance_id,
            self.incarnation,
            settings.is_hub,
            hub_ids,
        )
        self.members = make_members(
            settings.instance_id,
            self.incarnation,
            settings.data_centre,
            settings.is_hub,
            hub_ids,
        )
        self._stop = PlannedStop()
        self._stop_bound = make_stop_bound(settings.stop_grace_seconds)
        self.stopped = self._stop.stopped
        self._tls = read_files(settings.tls, source) if settings.tls else None
        self.peers = PeerLinks(
            settings,
            self.incarnation,
            load_link_key(settings, source),
            self._on_link_message,
            self._now,
            self._tls,
        )
        self.overlay = make_overlay(
            make_topology(settings, self.incarnation),
            self.members,
            self.peers.send,
            self._on_message,
        )
        self.router = Router(
            make_fleet_scheduler(settings, self.incarnation),
            self.registry,
            self.members,
            self.metrics,
            self._send,
            self._now,
        )
        self.tree = make_tree_holder(
            settings.instance_id,
            settings.data_centre,
            len(settings.peers),
            TreeHolderDeps(
                self._send,
                self._configure,
                lambda: self.members.live(self._now()),
                lambda: self._log.role() == "leader",
                self._now,
            ),
        )
        machines = self._make_machines()
        peer_ids = tuple(peer.instance_id for peer in settings.peers if peer.has_disk)
        own_ids = (settings.instance_id,) if settings.data_folder else ()
        self._replica_ids = own_ids + peer_ids
        self._log = make_log_service(
            settings.instance_id,
            peer_ids,
            Path(settings.data_folder) if settings.data_folder else None,
            machines,
            self._send_log,
            self._now,
            seed=crc32(settings.instance_id.encode()) ^ self.incarnation,
            make_initial_machines=self._make_machines,
        )
        self._owner_queries = OwnerQueries(settings.instance_id, self._send)
        self.outcomes = Outcomes(
            crc32(settings.instance_id.encode()) ^ self.incarnation, self._send
        )
        ports = KeyedPorts(
            self._log.propose, self._owner_queries.query_owner, asyncio.sleep, time
        )
        self.keyed = KeyedRequests(settings.instance_id, self.incarnation, ports)
        self.outcomes.keyed = self.keyed
        self.registry.set_replacement_callback(self.outcomes.record_target_replacement)
        self._session: ClientSession | None = None
        self._orders = make_order_service(
            OrderDeps(
                settings.instance_id,
                self.incarnation,
                settings.data_centre,
                self._log.propose,
                lambda: self._session,
                self._send,
                lambda: self.members.live(self._now()),
                lambda: {
                    target.target_id: target
                    for target in self.registry.live(self._now())
                },
                self._is_ready,
                self.router.running_of,
                lambda: self.router.tree,
                self._now,
            )
        )
        self._inbox = make_inbox(
            InboxDeps(
                self.members,
                self.targets,
                self._send_target_messages,
                self.tree,
                self._log,
                self.outcomes,
                self._owner_queries,
                self.keyed,
                self._orders,
                self.router,
                self._now,
            )
        )
        self._provider: TracerProvider | None = None
        self._exit = AsyncExitStack()
        self._port_limits = limits_of_descriptors(
            settings.max_descriptors, PORTS_FOR_CALLERS
        )
        limit_bytes = limit_of_memory(
            settings.memory_megabytes,
            PORTS_FOR_CALLERS * self._port_limits.connections,
            settings.tls is not None,
            DAEMON_BYTES,
        )
        self._connection_memory = make_connection_memory(limit_bytes)
        self._tasks: list[asyncio.Task[None]] = []

    def _make_machines(self) -> tuple[StateMachine, ...]:
        """Return the log's state machines in their initial state."""
        self._machine = TreeMachine(self.tree.handle_commit)
        return (self._machine, ClaimsMachine(), FencingMachine())

    async def start(self) -> None:
        """Open the listeners and start the periodic tasks.

        Raises:
            SettingsError: An address can't be listened on.
            PeerError: The address for the links can't be listened on.
        """
        contexts = self._make_contexts()
        self._provider = make_tracer_provider(self._settings)
        tracer = make_tracer(self._provider)
        session = await self._exit.enter_async_context(make_session(contexts.client))
        self._session = session
        relay = RelayDeps(
            self.router,
            session,
            tracer,
            self._now,
            self.outcomes,
            make_held_bytes(
                None
                if self._settings.memory_megabytes is None
                else self._connection_memory.answers_limit_bytes
            ),
            self._stop_bound,
        )
        callers = make_callers_app(
            CallersDeps(
                relay,
                tracer,
                self._settings.instance_id,
                self.incarnation,
                self._is_ready,
                lambda: self._stop.accepts_requests,
            ),
            CALLERS_BODY_LIMIT_BYTES,
        )
        operators = web.Application(client_max_size=OPERATORS_BODY_LIMIT_BYTES)
        operators.add_routes(make_operators_routes(self._make_operators_deps()))
        self._log.start()
        await self.peers.start()
        addresses = self._settings.listen
        await self._serve(operators, addresses.operators, "operators", contexts.server)
        await self._serve(callers, addresses.callers, "callers", contexts.server)
        heartbeat_seconds = (
            HUB_HEARTBEAT_SECONDS if self._settings.is_hub else HEARTBEAT_SECONDS
        )
        self._tasks += [
            asyncio.create_task(self._run_regularly(TICK_SECONDS, self._tick)),
            asyncio.create_task(
                self._run_regularly(heartbeat_seconds, self._send_heartbeat)
            ),
        ]
        logger.info("started", extra={"incarnation": self.incarnation})

    def request_stop(self) -> None:
        """Start a planned stop; a repeated request aborts no running work."""
        self._stop.request(self._now())
        self._stop_bound.start(asyncio.get_running_loop().time())
        self._announce_stop()

    def _announce_stop(self) -> None:
        """Notify the other instances at once that this one accepts no new work."""
        self._send_heartbeat()
        self.peers.flush()

    async def close(self) -> None:
        """Close all that ``start`` opened."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.keyed.close()
        await self._orders.close()
        await self._log.stop()
        await self.peers.stop()
        await self._exit.aclose()
        if self._provider is not None:
            self._provider.shutdown()

    def _is_ready(self) -> bool:
        return self._stop.is_ready and self.tree.is_ready()

    def _state(self) -> InstanceState:
        if not self._stop.is_ready:
            return InstanceState.DRAINING
        return InstanceState.READY if self._is_ready() else InstanceState.STARTING

    def _configure(self, tree: EffectiveTree) -> None:
        self.router.configure(tree)
        self.outcomes.configure(tree)
        self._log.set_desired_voters(desired_voters(tree, self._replica_ids))
        own = tree.instances.get(self._settings.instance_id)
        is_drained = own is not None and own.drain
        if self._stop.apply_drain_setting(is_drained, self._now()):
            self._announce_stop()

    def _make_contexts(self) -> _Contexts:
        tls = self._settings.tls
        if tls is None:
            return _Contexts()
        contexts = _Contexts(make_server_context(tls), make_client_context(tls))
        reload = make_reloader(
            tls, self._source, (contexts.server, contexts.client), self._renew_links
        )
        self._tasks.append(
            asyncio.create_task(self._run_regularly(TLS_RELOAD_SECONDS, reload))
        )
        return contexts

    def _renew_links(self, files: TlsFiles) -> None:
        self.peers.reload_tls(files)

    async def _serve(
        self, app: web.Application, address: str, name: str, context: Any
    ) -> None:
        try:
            stop = await listen(
                app,
                address,
                context,
                self._port_limits,
                memory=self._connection_memory,
            )
            self._exit.push_async_callback(stop)
        except OSError as error:
            raise SettingsError(
                self._source, f"listen.{name}", str(error), "a free address"
            ) from error

    async def _run_regularly(
        self, interval_seconds: float, task: Callable[[], None]
    ) -> None:
        def run_measured() -> None:
            with self._control_time.measured():
                task()

        await run_regularly(interval_seconds, run_measured)

    def _send(self, outgoing: Outgoing) -> None:
        self.overlay.send(outgoing, self._now())

    def _send_log(self, receiver_id: str, message: Message) -> None:
        self._send(Outgoing(receiver_id, message, urgent=True))

    def _tick(self) -> None:
        self.router.tick()
        now_seconds = self._now()
        live = self.members.live(now_seconds)
        others = frozenset((row.instance_id, row.incarnation) for row in live.values())
        self.outcomes.tick(others, now_seconds)
        self._log.tick(now_seconds)
        self._send_target_messages()
        self.tree.tick()
        running = self.router.scheduler.running_attempts()
        # What is reported to nobody is treated as after a crash.
        is_over = self._stop_bound.is_over(asyncio.get_running_loop().time())
        load = StopLoad(
            max(running, self.outcomes.open_requests),
            self.router.scheduler.waiting_requests(),
            0 if is_over else self.outcomes.unreported_claims,
        )
        delay_seconds = self._stop_bound.shorten(
            self.router.tree.fleet.balancer_delay_seconds
        )
        self._stop.advance(load, delay_seconds, now_seconds)
        if self._stop.step is StopStep.FINISHING:
            self.router.refuse_waiting_requests(make_stopping_error())

    def _send_heartbeat(self) -> None:
        now_seconds = self._now()
        heartbeat = self.members.heartbeat(
            self._state(), self.tree.revision, now_seconds
        )
        self.peers.send(Outgoing(None, heartbeat))
        self.targets.schedule_attestation()
        self._send_target_messages()
        self.overlay.tick(now_seconds)
        self.targets.set_hub(self.overlay.live_hub(now_seconds))
        self._orders.tick()
        metrics = self.metrics
        metrics.control_bytes.set({"direction": "sent"}, self.peers.sent_bytes)
        metrics.control_bytes.set({"direction": "received"}, self.peers.received_bytes)
        metrics.control_cpu_seconds.set({}, self._control_time.seconds)
        metrics.observe_outcomes(self.outcomes, self._now())

    def _on_link_message(
        self, sender_id: str, incarnation: int, message: Message
    ) -> None:
        with self._control_time.measured():
            self.overlay.handle_message(sender_id, incarnation, message, self._now())

    def _on_message(self, sender_id: str, incarnation: int, message: Message) -> None:
        with self._control_time.measured():
            self._inbox(sender_id, incarnation, message)

    def _send_target_messages(self) -> None:
        for outgoing in self.targets.collect_outgoing(self._now()):
            self._send(outgoing)

    def _make_operators_deps(self) -> OperatorsDeps:
        return OperatorsDeps(
            operators=self._settings.operators,
            platform_key_digest=self._settings.platform_key_digest,
            store=lambda: self.tree.store,
            propose=self._log.propose,
            wait_for_revision=self.tree.wait_for_revision,
            local_history=self._local_history,
            status=self._status,
            announce=self._handle_announcement,
            leave=self._handle_leave,
            now=self._now,
            wall_seconds=time,
        )

    def _local_history(self, before_revision: int) -> Sequence[HistoryEntry] | None:
        if self._settings.data_folder is None:
            return None
        return self._machine.history(before_revision)

    def _handle_announcement(self, announcement: TargetAnnouncement) -> bool:
        is_newer = self.targets.handle_announcement(announcement, self._now())
        self._send_target_messages()
        self.router.tick()
        return is_newer

    def _handle_leave(self, target_id: str, incarnation: int, sequence: int) -> bool:
        is_newer = self.targets.handle_leave(
            target_id, incarnation, sequence, self._now()
        )
        self._send_target_messages()
        self.router.tick()
        return is_newer

    def _status(self) -> StatusReport:
        own = InstanceSummary(
            self._settings.instance_id,
            self._settings.data_centre,
            self._state(),
            self.tree.revision,
        )
        return make_status(
            own,
            self._settings.peers,
            self.members.all(self._now()),
            self.registry.registered_targets(),
            self.router.running_by_target(),
            self._log.status(),
            self._now(),
            quarantine_of(self.outcomes.suspects, self._now()),
            self.router.tree.evacuated_data_centres,
        )
