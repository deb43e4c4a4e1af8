"""One instance that finds the others by seeds: a router, or a replica of the log.

A router answers callers under the settings in force. A replica keeps the log of the
settings tree and takes the targets' heartbeats and the declarer's documents. Either
keeps links to all replicas, and a replica to all routers.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from secrets import randbits
from time import monotonic, time_ns
from zlib import crc32

from aiohttp import ClientSession

from sesameford.claims import ClaimsMachine
from sesameford.discovery.founding_mark import is_founder
from sesameford.discovery.heartbeat_table import HeartbeatEntry, make_heartbeat_table
from sesameford.discovery.roster import make_roster
from sesameford.effective import EffectiveTree
from sesameford.errors import PeerError
from sesameford.fencing import FencingMachine
from sesameford.gateway.call_context import (
    GatewayDeps,
    GatewayState,
    make_gateway_state,
)
from sesameford.gateway.calls import WireAdapter
from sesameford.gateway.cold_permits import make_cold_permits
from sesameford.gateway.fleet_sums import LiveInstances
from sesameford.gateway.forward import CONNECT_SECONDS, make_sender
from sesameford.gateway.gateway_metrics import make_gateway_metrics
from sesameford.gateway.load_report import REPORT_SECONDS
from sesameford.gateway.load_system import make_load_system
from sesameford.gateway.operator_calls import make_operator_calls
from sesameford.gateway.placement import make_placement
from sesameford.gateway.second_sends import make_second_sends
from sesameford.http_ports import make_session
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
    HeartbeatRow,
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
    TreeRequest,
    TreeSnapshot,
    TreeSteps,
)
from sesameford.peers import PeerLinks, seed_peer_id
from sesameford.planned_stop import PlannedStop
from sesameford.regular_run import run_regularly
from sesameford.settings import DaemonSettings, Peer
from sesameford.state_machine import StateMachine
from sesameford.stops import StopLoad
from sesameford.tables import InstanceState, TargetState
from sesameford.tree_changes import TreeMachine
from sesameford.tree_holder import TreeHolderDeps, make_tree_holder

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
BEAT_SECONDS = 0.5
# A link that carries a heartbeat each half second and acknowledges nothing for three
# of them is dead; a change must be in force everywhere within a few seconds.
REDIAL_SECONDS = 1.6
# The balancer asks once a second and leaves an instance out after two misses; what
# comes later than this might not end before the process is ended.
UNREADY_SECONDS = 2.6
CLOSE_LINKS_SECONDS = 0.05
IDLE_SECONDS = 3.0
# A target waits a second for an acknowledgement; a replica that is heard answers
# within some hundredths.
TAKEN_SECONDS = 0.3
TOKEN_BITS = 48


class GatewayNode:
    """Composes the parts of one instance and runs its systems each tick."""

    def __init__(
        self, settings: DaemonSettings, source: str, edge: WireAdapter
    ) -> None:
        self._settings = settings
        self._edge = edge
        self._now: Callable[[], float] = monotonic
        self.incarnation = time_ns() // 1_000_000
        self._own = Peer(
            settings.instance_id,
            settings.data_centre,
            settings.listen.peers,
            settings.data_folder is not None,
        )
        self.tally = make_gateway_metrics()
        self.table = make_heartbeat_table(self._own.has_disk)
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
            self._received,
            self._now,
            redial_after_seconds=REDIAL_SECONDS,
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
        self._state: GatewayState | None = None
        self._session: ClientSession | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._had_replicas = False
        self._greeted_incarnations: dict[str, int] = {}
        self._taken: dict[int, asyncio.Event] = {}
        self._at_finishing: list[Callable[[], None]] = []
        self._at_configured: list[Callable[[EffectiveTree], None]] = []

    async def start(self) -> None:
        """Open the links and begin to run the systems."""
        self._log.start()
        await self._links.start()
        for address in self._settings.seeds:
            if address != self._own.peers:
                seed_id = seed_peer_id(address)
                self._links.add(Peer(seed_id, "", address, True))
        self._greet()
        self._links.flush()
        self._tasks = [
            asyncio.create_task(run_regularly(TICK_SECONDS, self._tick)),
            asyncio.create_task(run_regularly(BEAT_SECONDS, self._beat)),
            asyncio.create_task(run_regularly(REPORT_SECONDS, self._tick_load)),
        ]
        logger.info("started", extra={"incarnation": self.incarnation})

    def make_gateway(self, is_crowded: Callable[[], bool]) -> GatewayDeps:
        """Return what serves callers here; to be called on the running loop.

        Args:
            is_crowded: Whether few connections of callers are left.
        """
        loop = asyncio.get_running_loop()
        self._session = make_session(None, IDLE_SECONDS, CONNECT_SECONDS)
        return GatewayDeps(
            self._edge,
            make_sender(self._session, self._edge),
            self.placement,
            self.load.gate,
            make_second_sends(self._settings.retry_budget),
            self.load.lag,
            self.tally,
            Random(self.incarnation),
            lambda: self._state if self._tree.is_ready() else None,
            lambda: self.load.report.routers,
            lambda: not self._stop.is_ready,
            is_crowded,
            lambda: self._stop.accepts_requests,
            self._now,
            loop.time,
        )

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self._stop.is_ready and self._tree.is_ready()

    def on_finishing(self, act: Callable[[], None]) -> None:
        """Call back when a planned stop takes no new requests any more."""
        self._at_finishing.append(act)

    def on_configured(self, act: Callable[[EffectiveTree], None]) -> None:
        """Call back with each tree that comes into force."""
        self._at_configured.append(act)

    def reload(self, settings: DaemonSettings) -> None:
        """Take settings that have changed while the process runs.

        Only the seeds can change: whoever lost all that it knew finds the others by
        the new ones.
        """
        for address in settings.seeds:
            is_known = address in (*self._roster.seeds, self._own.peers)
            if not is_known and not self._roster.knows_address(address):
                self._links.add(Peer(seed_peer_id(address), "", address, True))
        logger.info("settings reloaded", extra={"seeds": settings.seeds})
        self._greet()

    def request_stop(self) -> None:
        """Begin a planned stop; asked again it cuts nothing."""
        self._stop.ask(self._now())
        self._beat()

    async def close(self) -> None:
        """Close all that ``start`` and ``make_gateway`` opened."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._log.stop()
        self._links.flush()
        await asyncio.sleep(CLOSE_LINKS_SECONDS)
        await self._links.stop()
        if self._session is not None:
            await self._session.close()
        logger.info("stopped")

    # --- what control asks ----------------------------------------------------

    async def target_beat(self, row: HeartbeatRow) -> None:
        """Take a target's heartbeat and tell all others what changed.

        A target that leaves is acknowledged only once another replica knows it too,
        where any can be reached. If this process ended right after the answer, the
        others would else go on sending requests to where nobody listens.
        """
        token = randbits(TOKEN_BITS) if row.state is not TargetState.READY else 0
        before = self.table.known.get(row.target_id)
        outgoing = self.table.beat(row, self._now(), token)
        if outgoing:
            self._log_target(row, before)
        await self._tell_targets(outgoing, token)

    async def target_left(self, target_id: str) -> None:
        """Take a target's word that it ends; acknowledged like a heartbeat."""
        token = randbits(TOKEN_BITS)
        outgoing = self.table.left(target_id, self._now(), token)
        if outgoing:
            logger.info("target left", extra={"target": target_id})
        await self._tell_targets(outgoing, token)

    async def _tell_targets(self, outgoing: Sequence[Outgoing], token: int) -> None:
        self._send_all(outgoing)
        if not outgoing or not token:
            return
        self._links.flush()
        taken = self._taken[token] = asyncio.Event()
        try:
            async with asyncio.timeout(TAKEN_SECONDS):
                await taken.wait()
        except TimeoutError:
            logger.warning("no other replica knows a leaving target yet")
        finally:
            del self._taken[token]

    def _data_centres(self) -> frozenset[str]:
        """Return the data centres of the settings, of instances and of targets."""
        of_targets = {known.row.data_centre for known in self.table.known.values()}
        return self._roster.data_centres() | of_targets | set(self._settings.regions)

    def _new_machines(self) -> tuple[StateMachine, ...]:
        """Return the log's state machines in their first state."""
        self._machine = TreeMachine(self._tree.committed)
        return (self._machine, ClaimsMachine(), FencingMachine())

    # --- systems --------------------------------------------------------------

    def _configure(self, tree: EffectiveTree) -> None:
        self._state = make_gateway_state(tree)
        self.placement.configure(tree, self._now())
        for act in self._at_configured:
            act(tree)
        self.tally.level("tree_revision", tree.revision)

    def _instance_state(self) -> InstanceState:
        if not self._stop.is_ready:
            return InstanceState.DRAINING
        return InstanceState.READY if self._tree.is_ready() else InstanceState.STARTING

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
            self._introduce(peer_id)
        self._tree.tick()
        load = StopLoad(self.tally.open_calls, 0, 0)
        delay_seconds = 0.0 if self._own.has_disk else UNREADY_SECONDS
        was_serving = self._stop.accepts_requests
        self._stop.advance(load, delay_seconds, now_seconds)
        if was_serving and not self._stop.accepts_requests:
            for act in self._at_finishing:
                act()

    def _beat(self) -> None:
        now_seconds = self._now()
        self._greet()
        self._links.send(Outgoing(None, self._heartbeat(now_seconds)))
        if self._own.has_disk:
            self._links.send(Outgoing(None, self.table.heard()))
        self.table.forget(now_seconds)
        self.placement.forget()
        for peer_id in self._roster.forgotten(now_seconds):
            self._links.remove(peer_id)
            self._greeted_incarnations.pop(peer_id, None)
        self._links.flush()
        self._note_replicas(now_seconds)
        self.load.log_shares(now_seconds)
        self._count_shares()
        self.tally.settle()

    def _count_shares(self) -> None:
        for admission, tokens in self.load.gate.account.totals.items():
            self.tally.admitted(admission.value, tokens)
        self.tally.level("cold_sent", self.placement.candidates.cold.requests_sent)
        if self._own.has_disk:
            shares = self.load.shares
            self.tally.level("cold_permits", self.load.permits_given)
            self.tally.level("share_capacity_tokens", shares.capacity_tokens)
            self.tally.level("share_routers", shares.routers)
            self.tally.level("share_limited_customers", len(shares.fractions))

    def _greet(self) -> None:
        self._links.send(Outgoing(None, self._roster.greeting(self._now())))

    def _tick_load(self) -> None:
        self.load.tick(self._now())

    def _note_replicas(self, now_seconds: float) -> None:
        has_replicas = bool(self._roster.live_replicas(now_seconds, 2.0))
        if has_replicas != self._had_replicas:
            self._had_replicas = has_replicas
            text = "replicas are heard" if has_replicas else "no replica is heard"
            logger.warning(text)

    # --- messages -------------------------------------------------------------

    def _send_all(self, outgoing: Sequence[Outgoing]) -> None:
        for one in outgoing:
            self._links.send(one)

    def _send_log(self, receiver_id: str, message: Message) -> None:
        self._links.send(Outgoing(receiver_id, message, urgent=True))

    def _received(self, sender_id: str, incarnation: int, message: Message) -> None:
        now_seconds = self._now()
        match message:
            case Hello():
                for peer in self._roster.greeted(sender_id, message, now_seconds):
                    self._link(peer)
                self._answer_start(sender_id, incarnation)
            case StaleIncarnation():
                self._raise_incarnation(message.highest_incarnation)
            case Heartbeat():
                self._roster.heard(sender_id, now_seconds)
                self._members.heard(sender_id, incarnation, message, now_seconds)
            case HeartbeatRows() | RecentHeartbeats() | HeartbeatRowsRequest():
                self._send_all(self.table.received(sender_id, message, now_seconds))
            case HeartbeatRowsAck():
                if message.token in self._taken:
                    self._taken[message.token].set()
            case RouterLoad():
                self.load.received(sender_id, message, now_seconds)
            case RouterLoadHandover():
                self.load.ended(sender_id)
            case PartialLoad():
                self.load.received_partial(sender_id, message, now_seconds)
            case FleetLoad():
                self.load.heard(sender_id, message, now_seconds)
            case TreeSteps() | TreeSnapshot() | TreeRequest():
                self._tree.received(sender_id, message)
            case LogPayload() | ProposalRequest() | ProposalReply():
                self._log.handle_message(sender_id, incarnation, message, now_seconds)
            case _:
                raise PeerError(f"{type(message).__name__} has no place here")

    def _answer_start(self, sender_id: str, incarnation: int) -> None:
        """Tell a process that has just started at once what it will hear regularly.

        After a loss of all power everybody waits for everybody's next greeting, half a
        second for each step: who there is, which settings are the newest, what they
        are. Callers are refused until then.
        """
        if self._greeted_incarnations.get(sender_id) == incarnation:
            return
        self._greeted_incarnations[sender_id] = incarnation
        self._links.redial_if_silent(sender_id)
        self._introduce(sender_id)

    def _introduce(self, peer_id: str) -> None:
        """Greet one peer, and tell it the state here, at once."""
        now_seconds = self._now()
        greeting = self._roster.greeting(now_seconds)
        self._links.send(Outgoing(peer_id, greeting, urgent=True))
        self._links.send(Outgoing(peer_id, self._heartbeat(now_seconds)))

    def _heartbeat(self, now_seconds: float) -> Heartbeat:
        return self._members.heartbeat(
            self._instance_state(), self._tree.revision, now_seconds
        )

    def _link(self, peer: Peer) -> None:
        """Keep a link where either end has a disk."""
        if peer.has_disk or self._own.has_disk:
            self._links.add(peer)

    def _raise_incarnation(self, heard: int) -> None:
        if self._links.raise_incarnation(heard):
            logger.warning(
                "an earlier process had a higher number", extra={"of": heard}
            )

    def _log_target(self, row: HeartbeatRow, before: HeartbeatEntry | None) -> None:
        was_cold = before is not None and before.row.cold_milliseconds > 0
        text = "target changed"
        if row.cold_milliseconds:
            text = "target cold"
        elif was_cold:
            text = "target warm"
        logger.info(
            text,
            extra={
                "target": row.target_id,
                "service": row.service,
                "address": row.address,
                "state": row.state.value,
                "sequence": row.sequence,
                "cold_seconds": row.cold_milliseconds / 1000,
            },
        )


def make_gateway_node(
    settings: DaemonSettings, source: str, edge: WireAdapter
) -> GatewayNode:
    """Return an instance that is not started yet.

    Args:
        settings: Its settings.
        source: The file that they came from, for errors.
        edge: How callers and targets speak.
    """
    return GatewayNode(settings, source, edge)
