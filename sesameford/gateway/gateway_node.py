"""One instance that discovers the others by seeds: a router, or a replica of the log.

A router answers callers under the settings in force. A replica stores the log of the
settings tree and receives the targets' heartbeats and the declarer's documents. Both
keep links to all replicas, and a replica also to all routers.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from time import monotonic, time_ns
from zlib import crc32

from aiohttp import ClientSession

from sesameford.claims import ClaimsMachine
from sesameford.connection_memory import ConnectionMemory
from sesameford.discovery.founding_mark import is_founder
from sesameford.discovery.heartbeat_table import HeartbeatTable, make_heartbeat_table
from sesameford.discovery.roster import Contact, make_roster
from sesameford.effective import EffectiveTree, FleetSettings
from sesameford.errors import PeerError
from sesameford.fencing import FencingMachine
from sesameford.gateway.call_context import (
    GatewayDeps,
    GatewayState,
    make_gateway_state,
)
from sesameford.gateway.calls import WireAdapter
from sesameford.gateway.cold_permits import make_cold_permits
from sesameford.gateway.dispatch_limit import make_dispatch_limit
from sesameford.gateway.fleet_sums import INSTANCE_LIVE_SECONDS, LiveInstances
from sesameford.gateway.forward import make_sender, make_target_session
from sesameford.gateway.gateway_metrics import make_gateway_metrics
from sesameford.gateway.introductions import make_introductions
from sesameford.gateway.load_report import REPORT_SECONDS
from sesameford.gateway.load_system import make_load_system
from sesameford.gateway.node_levels import (
    set_load_levels,
    set_retry_totals,
    set_suspect_levels,
    set_target_levels,
)
from sesameford.gateway.operator_calls import make_operator_calls
from sesameford.gateway.origin_exchange import make_origin_exchange
from sesameford.gateway.origin_files import make_origin_files
from sesameford.gateway.placement import make_placement
from sesameford.gateway.quarantine_status import QuarantineRow, list_quarantines
from sesameford.gateway.router_census import make_router_census
from sesameford.gateway.second_sends import make_second_sends
from sesameford.gateway.service_versions import (
    MIN_KNOWN_HEARTBEATS,
    make_service_versions,
)
from sesameford.gateway.stream_origins import make_stream_origins
from sesameford.gateway.suspect_calls import make_suspect_calls
from sesameford.gateway.suspect_exchange import make_suspect_exchange
from sesameford.gateway.suspect_files import make_suspect_files
from sesameford.gateway.target_heartbeats import make_target_heartbeats
from sesameford.held_answers import make_held_bytes
from sesameford.link_key import load_link_key
from sesameford.load_messages import (
    FleetLoad,
    PartialLoad,
    RouterLoad,
    RouterLoadHandover,
)
from sesameford.log_service import make_log_service
from sesameford.members import make_members
from sesameford.messages import (
    Heartbeat,
    HeartbeatRows,
    HeartbeatRowsAck,
    HeartbeatRowsRequest,
    Hello,
    LogPayload,
    Message,
    Outgoing,
    ProposalReply,
    ProposalRequest,
    RecentHeartbeats,
    StaleIncarnation,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginRows,
    SuspectUpdate,
    TreeRequest,
    TreeSnapshot,
    TreeSteps,
)
from sesameford.peers import PeerLinks
from sesameford.planned_stop import PlannedStop
from sesameford.regular_run import run_regularly
from sesameford.settings import DaemonSettings, Peer
from sesameford.state_machine import StateMachine
from sesameford.stop_bound import make_stop_bound
from sesameford.stops import StopLoad, StopStep
from sesameford.tables import InstanceState
from sesameford.tree_changes import TreeMachine
from sesameford.tree_holder import TreeHolderDeps, make_tree_holder

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.5
# A link that carries a heartbeat each half second and acknowledges nothing for three
# of them is dead; a change must be in force everywhere within a few seconds.
REDIAL_SECONDS = 1.6
# The balancer checks readiness once a second and leaves an instance out after two
# misses; a request that comes later might not finish before the process is ended.
UNREADY_SECONDS = 2.6
CLOSE_LINKS_SECONDS = 0.05
IDLE_SECONDS = 3.0
# A replica of the release before doesn't say when it has sent all its targets.
MAX_TARGETS_WAIT_SECONDS = 3.0


class GatewayNode:
    """Composes the parts of one instance and runs its periodic tasks."""

    def __init__(
        self, settings: DaemonSettings, source: str, wire_adapter: WireAdapter
    ) -> None:
        self._settings = settings
        self._wire_adapter = wire_adapter
        self._now: Callable[[], float] = monotonic
        self.incarnation = time_ns() // 1_000_000
        self._own = Peer(
            settings.instance_id,
            settings.data_centre,
            settings.listen.peers,
            settings.data_folder is not None,
        )
        self.metrics = make_gateway_metrics()
        self.table = self._make_table()
        founds = settings.founds
        if settings.data_folder is not None:
            founds = is_founder(Path(settings.data_folder), founds)
        self._roster = make_roster(self._own, settings.seeds, founds)
        self._members = make_members(
            settings.instance_id, self.incarnation, settings.data_centre
        )
        self._stop = PlannedStop()
        self.stopped = self._stop.stopped
        self._links = PeerLinks(
            settings,
            self.incarnation,
            load_link_key(settings, source),
            self._handle_message,
            self._now,
            redial_after_seconds=REDIAL_SECONDS,
        )
        self._introductions = make_introductions(
            self._own,
            self._roster,
            self._links,
            self._heartbeat,
            self._handle_started_peer,
        )
        self.target_heartbeats = make_target_heartbeats(
            self.table,
            self._links,
            self._now,
            lambda now_seconds: bool(
                self._roster.live_replicas(now_seconds, INSTANCE_LIVE_SECONDS)
            ),
        )
        self._tree = make_tree_holder(
            settings.instance_id,
            settings.data_centre,
            len(settings.seeds),
            TreeHolderDeps(
                self._links.send,
                self._configure,
                lambda: self._members.live(self._now()),
                lambda: self._log.role() == "leader",
                self._now,
            ),
        )
        seed = crc32(settings.instance_id.encode()) ^ self.incarnation
        machines = self._new_machines()
        self._log = make_log_service(
            settings.instance_id,
            (),
            Path(settings.data_folder) if settings.data_folder else None,
            machines,
            self._send_log,
            self._now,
            seed=seed,
            make_initial_machines=self._new_machines,
        )
        self.operator_calls = make_operator_calls(
            self._log.propose, lambda: self._machine, self._data_centres, self._now
        )
        self.placement = make_placement(
            self.table,
            settings.data_centre,
            settings.target_beat_seconds,
            Random(self.incarnation),
            settings.regions,
        )
        self.load = make_load_system(
            self._own.has_disk,
            self.placement,
            lambda: self._state,
            LiveInstances(
                self._roster.live_replicas,
                self._roster.near_replicas,
                self._roster.live_routers,
            ),
            self._links.send,
            Random(seed),
            make_cold_permits(
                settings.cold_bound,
                len(settings.regions),
                self._roster.is_first_of_data_centre,
            ),
        )
        self.suspect_exchange = make_suspect_exchange(
            settings.instance_id,
            FleetSettings().quarantine_seconds,
            self._own.has_disk,
            lambda now_seconds: self._roster.replicas_by_distance(
                now_seconds, INSTANCE_LIVE_SECONDS
            ),
            self._links.send,
            needed_tables=0 if self._own.has_disk else len(settings.seeds) // 2 + 1,
        )
        self._suspect_calls = make_suspect_calls(
            self.suspect_exchange,
            self.table,
            self.placement,
            settings.target_beat_seconds,
            self._now,
            Random(seed),
        )
        self.origin_exchange = make_origin_exchange(
            make_stream_origins(),
            settings.data_centre,
            lambda now_seconds: self._roster.origin_replicas(
                now_seconds, INSTANCE_LIVE_SECONDS
            ),
            self._links.send,
            make_origin_files(Path(settings.data_folder))
            if settings.data_folder is not None
            else None,
            lambda: self.table.digests,
        )
        self._service_versions = make_service_versions(
            self.table,
            self._contact,
            settings.target_beat_seconds,
        )
        self._second_sends = make_second_sends(settings.retry_budget)
        self._census = make_router_census(settings.retry_budget.window_seconds)
        self._dispatch_limit = make_dispatch_limit()
        self._stop_bound = make_stop_bound(settings.stop_grace_seconds)
        self._state: GatewayState | None = None
        self._session: ClientSession | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._had_replicas = False
        self._started_at_seconds = self._now()
        self._on_finishing: list[Callable[[], None]] = []
        self._on_configured: list[Callable[[EffectiveTree], None]] = []

    async def start(self) -> None:
        """Open the links and start the periodic tasks."""
        self._log.start()
        self.origin_exchange.read_files(self._now())
        if self._settings.data_folder is not None:
            self.suspect_exchange.open_files(
                make_suspect_files(
                    Path(self._settings.data_folder),
                    self.suspect_exchange.suspects,
                    self._now,
                )
            )
        await self._links.start()
        self._introductions.add_seeds(self._settings.seeds)
        self._introductions.broadcast_hello(self._now())
        self._links.flush()
        self._tasks = [
            asyncio.create_task(run_regularly(TICK_SECONDS, self._tick)),
            asyncio.create_task(
                run_regularly(HEARTBEAT_SECONDS, self._send_heartbeats)
            ),
            asyncio.create_task(run_regularly(REPORT_SECONDS, self._tick_load)),
        ]
        logger.info("started", extra={"incarnation": self.incarnation})

    def make_gateway(
        self, is_crowded: Callable[[], bool], memory: ConnectionMemory
    ) -> GatewayDeps:
        """Return the dependencies of callers' requests; needs a running event loop.

        Args:
            is_crowded: Returns whether few free connections for callers are left.
            memory: The account of what callers' connections hold.
        """
        loop = asyncio.get_running_loop()
        self._session = make_target_session(
            IDLE_SECONDS, self._wire_adapter, self.metrics
        )
        return GatewayDeps(
            self._wire_adapter,
            make_sender(self._session, self._wire_adapter),
            self.placement,
            self.load.gate,
            self._second_sends,
            self.load.lag,
            self.metrics,
            Random(self.incarnation),
            lambda: self._state if self._tree.is_ready() else None,
            self.spare_part,
            lambda: not self._stop.is_ready,
            is_crowded,
            lambda: self._stop.accepts_requests,
            self._now,
            loop.time,
            self._suspect_calls,
            self.origin_exchange,
            self._service_versions,
            memory.has_room_to_run,
            make_held_bytes(memory.answers_limit_bytes),
            dispatch_limit=self._dispatch_limit,
            table_proof=self.load.table_proof,
            stop_bound=self._stop_bound,
        )

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this instance."""
        return (
            self._stop.is_ready
            and self._tree.is_ready()
            and self._knows_targets()
            and self.suspect_exchange.has_table(self._now())
        )

    def spare_part(self) -> float:
        """Return the part of the fleet's spare retries that this router may use."""
        return self._census.usable_part(self._now())

    def on_finishing(self, act: Callable[[], None]) -> None:
        """Add a callback for the time when a planned stop stops accepting requests."""
        self._on_finishing.append(act)

    def on_configured(self, act: Callable[[EffectiveTree], None]) -> None:
        """Add a callback for each tree that comes into force."""
        self._on_configured.append(act)

    def reload(self, settings: DaemonSettings) -> None:
        """Apply settings that changed while the process runs.

        The seeds can change, since an instance that lost all its peers finds the others
        by the new ones, and the grace of a stop.
        """
        self._stop_bound.configure(settings.stop_grace_seconds)
        self._introductions.add_new_seeds(settings.seeds)
        logger.info(
            "settings reloaded",
            extra={
                "seeds": settings.seeds,
                "stop_grace_seconds": settings.stop_grace_seconds,
            },
        )
        self._introductions.broadcast_hello(self._now())

    def request_stop(self) -> None:
        """Start a planned stop; a repeated call does not shorten it."""
        self._stop.request(self._now())
        self._stop_bound.start(asyncio.get_running_loop().time())
        self._send_heartbeats()

    async def close(self, ends_process: bool = False) -> None:
        """Close all that ``start`` and ``make_gateway`` opened.

        Args:
            ends_process: Whether the process ends right away, see ``PeerLinks.stop``.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._log.stop()
        await self.origin_exchange.stop(self._now())
        await self.suspect_exchange.stop(self._now())
        self._links.flush()
        await asyncio.sleep(CLOSE_LINKS_SECONDS)
        await self._links.stop(ends_process)
        if self._session is not None:
            await self._session.close()
        logger.info("stopped")

    # --- calls on the control port --------------------------------------------

    def list_quarantines(self) -> Sequence[QuarantineRow]:
        """Return the calls that all routers refuse because targets crashed."""
        exchange = self.suspect_exchange
        return list_quarantines(exchange.suspects, exchange.customer_of, self._now())

    def lift_quarantine(self, digest: str) -> bool:
        """End a quarantine; return whether there was one of this digest.

        Args:
            digest: The digest as log lines and ``list_quarantines`` name it.
        """
        return self.suspect_exchange.lift(digest, self._now())

    def _data_centres(self) -> frozenset[str]:
        """Return the data centres of the settings, of instances and of targets."""
        of_targets = {entry.row.data_centre for entry in self.table.entries.values()}
        return self._roster.data_centres() | of_targets | set(self._settings.regions)

    def _make_table(self) -> HeartbeatTable:
        """Return the table of targets; a replica's is filled by their heartbeats."""
        if not self._own.has_disk:
            return make_heartbeat_table()
        until_all_known_seconds = (
            MIN_KNOWN_HEARTBEATS * self._settings.target_beat_seconds
        )
        return make_heartbeat_table(True, self._now() + until_all_known_seconds)

    def _new_machines(self) -> tuple[StateMachine, ...]:
        """Return the log's state machines in their initial state."""
        self._machine = TreeMachine(self._tree.handle_commit)
        return (self._machine, ClaimsMachine(), FencingMachine())

    # --- periodic tasks -------------------------------------------------------

    def _configure(self, tree: EffectiveTree) -> None:
        self._state = make_gateway_state(tree)
        self.placement.configure(tree, self._now())
        self.suspect_exchange.configure(tree)
        for act in self._on_configured:
            act(tree)
        self.metrics.set_level("tree_revision", tree.revision)

    def _instance_state(self) -> InstanceState:
        if not self._stop.is_ready:
            return InstanceState.DRAINING
        return InstanceState.READY if self._tree.is_ready() else InstanceState.STARTING

    def _knows_targets(self) -> bool:
        """Return whether a replica has sent its targets, or none will do so soon.

        A router that knows a part of them would send all its calls there, and refuse
        streams of the versions that it has not heard of.
        """
        if self.table.has_all_rows:
            return True
        waited_seconds = self._now() - self._started_at_seconds
        return waited_seconds > MAX_TARGETS_WAIT_SECONDS

    def _tick(self) -> None:
        now_seconds = self._now()
        if self._own.has_disk:
            self._log.set_replicas(
                self._roster.log_peer_ids(self._log.is_empty()),
                may_found=self._roster.may_found(),
            )
            self._log.set_desired_voters(self._log.choose_voters(now_seconds))
            self._log.tick(now_seconds)
        for peer_id in self._links.redial_silent_peers(now_seconds):
            self._introductions.send_hello(peer_id, now_seconds)
        self._tree.tick()
        self._suspect_calls.tick(now_seconds)
        self.origin_exchange.tick(now_seconds)
        load = StopLoad(self.metrics.open_calls, 0, 0)
        delay_seconds = 0.0 if self._own.has_disk else UNREADY_SECONDS
        delay_seconds = self._stop_bound.shorten(delay_seconds)
        was_serving = self._stop.accepts_requests
        # A step that holds already takes no time.
        for _ in StopStep:
            self._stop.advance(load, delay_seconds, now_seconds)
        if was_serving and not self._stop.accepts_requests:
            for act in self._on_finishing:
                act()

    def _send_heartbeats(self) -> None:
        now_seconds = self._now()
        self._introductions.broadcast_hello(now_seconds)
        self._links.send(Outgoing(None, self._heartbeat(now_seconds)))
        if self._own.has_disk:
            self._links.send(
                Outgoing(None, self.table.make_recent_heartbeats(now_seconds))
            )
        self.table.forget(now_seconds)
        self.placement.forget(now_seconds)
        self.origin_exchange.origins.forget(now_seconds)
        for peer_id in self._introductions.remove_silent(now_seconds):
            self.suspect_exchange.forget_peer(peer_id)
        self._links.flush()
        self._log_replica_contact(now_seconds)
        self.load.log_shares(now_seconds)
        self._second_sends.log_use(now_seconds)
        self._set_levels(now_seconds)
        self.metrics.flush()

    def _set_levels(self, now_seconds: float) -> None:
        self.metrics.set_level("waiting_calls", self._dispatch_limit.waiting_calls)
        set_load_levels(self.metrics, self.load)
        set_retry_totals(self.metrics, self._second_sends)
        self.metrics.set_level("counted_routers", self._census.routers(now_seconds))
        set_target_levels(self.metrics, self.placement, now_seconds)
        set_suspect_levels(self.metrics, self._suspect_calls, now_seconds)
        self.metrics.set_level("stream_origins", len(self.origin_exchange.origins))

    def _tick_load(self) -> None:
        self.load.tick(self._now())

    def _log_replica_contact(self, now_seconds: float) -> None:
        has_replicas = bool(self._roster.live_replicas(now_seconds, 2.0))
        if has_replicas != self._had_replicas:
            self._had_replicas = has_replicas
            text = (
                "replicas are reachable" if has_replicas else "no replica is reachable"
            )
            logger.warning(text)

    # --- messages -------------------------------------------------------------

    def _send_all(self, outgoing: Sequence[Outgoing]) -> None:
        for one in outgoing:
            self._links.send(one)

    def _send_log(self, receiver_id: str, message: Message) -> None:
        self._links.send(Outgoing(receiver_id, message, urgent=True))

    def _handle_message(
        self, sender_id: str, incarnation: int, message: Message
    ) -> None:
        now_seconds = self._now()
        match message:
            case Hello():
                self._introductions.handle_hello(
                    sender_id, incarnation, message, now_seconds
                )
                if message.has_disk:
                    self._send_all(
                        self.table.request_first_rows(sender_id, now_seconds)
                    )
            case StaleIncarnation():
                self._introductions.raise_incarnation(message.highest_incarnation)
            case Heartbeat():
                self._roster.record_heartbeat(sender_id, now_seconds)
                self._members.handle_heartbeat(
                    sender_id, incarnation, message, now_seconds
                )
                self.suspect_exchange.handle_heartbeat(
                    sender_id, incarnation, now_seconds
                )
            case SuspectUpdate():
                self._suspect_calls.handle_update(sender_id, message, now_seconds)
            case HeartbeatRows() | RecentHeartbeats() | HeartbeatRowsRequest():
                self._send_all(
                    self.table.handle_message(sender_id, message, now_seconds)
                )
                self.load.table_proof.record_rows(self.table.rows_requested_at_seconds)
            case StreamOriginRows():
                self.origin_exchange.handle_rows(message, now_seconds)
            case StreamOriginQuery():
                self.origin_exchange.handle_query(sender_id, message, now_seconds)
            case StreamOriginReply():
                self.origin_exchange.handle_reply(sender_id, message)
            case HeartbeatRowsAck():
                self.target_heartbeats.handle_ack(message)
            case RouterLoad():
                self.load.handle_report(sender_id, message, now_seconds)
            case RouterLoadHandover():
                self.load.handle_handover(sender_id)
            case PartialLoad():
                self.load.handle_partial(sender_id, message, now_seconds)
            case FleetLoad():
                self.load.handle_fleet_load(sender_id, message, now_seconds)
                self._record_router_count(now_seconds)
            case TreeSteps() | TreeSnapshot() | TreeRequest():
                self._tree.handle_message(sender_id, message)
            case LogPayload() | ProposalRequest() | ProposalReply():
                self._log.handle_message(sender_id, incarnation, message, now_seconds)
            case _:
                raise PeerError(f"unexpected message {type(message).__name__}")

    def _record_router_count(self, now_seconds: float) -> None:
        """Record how many routers there are if the sums that came now tell that."""
        report = self.load.report
        if report.whole_at_seconds < now_seconds:
            return
        if self._contact(now_seconds) is not Contact.FEW:
            live = self._roster.live_replicas(now_seconds, INSTANCE_LIVE_SECONDS)
            self._census.record(report.routers, len(live), now_seconds)

    def _contact(self, now_seconds: float) -> Contact:
        return self._roster.contact(now_seconds, INSTANCE_LIVE_SECONDS)

    def _handle_started_peer(self, peer_id: str, now_seconds: float) -> None:
        """Send a process that has just started what it can't know."""
        if self._roster.keeps_origins(peer_id):
            self.origin_exchange.handle_started_replica(peer_id, now_seconds)

    def _heartbeat(self, now_seconds: float) -> Heartbeat:
        return self._members.heartbeat(
            self._instance_state(), self._tree.revision, now_seconds
        )


def make_gateway_node(
    settings: DaemonSettings, source: str, wire_adapter: WireAdapter
) -> GatewayNode:
    """Return an instance that is not started yet.

    Args:
        settings: Its settings.
        source: The file that they came from, for errors.
        wire_adapter: The wire format of callers and targets.
    """
    return GatewayNode(settings, source, wire_adapter)
