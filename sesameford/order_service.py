"""Sends orders to the engines of a data centre, under a lease of the log."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from itertools import count
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from sesameford.effective import EffectiveTree, TargetSettings
from sesameford.errors import LogError
from sesameford.fencing import (
    WEIGHT_STORE_GROUP,
    FencingAnswer,
    decode_answer,
    encode_command,
)
from sesameford.leases import (
    LeaseCommand,
    LeaseManager,
    make_lease_manager,
    make_slot_lease_manager,
)
from sesameford.messages import ModelUse, ModelUseQuery, Outgoing
from sesameford.orders import ORDER_DEADLINE_SECONDS, Order, OrderKind, OrderTable
from sesameford.state_machine import Propose
from sesameford.tables import InstanceRow, InstanceState, Target

logger = logging.getLogger(__name__)

FENCING_MACHINE = "fencing"
REFUSED_HEADER = "X-Refused"


@dataclass(frozen=True, slots=True)
class OrderDeps:
    """The dependencies of the order service.

    Args:
        instance_id: This instance.
        incarnation: The incarnation of its process.
        data_centre: The data centre whose engines it may send orders to.
        propose: Proposes a command to the log and returns its answer.
        session: Returns the session for targets; None before the instance started.
        send: Sends a message to other instances.
        live: Returns the other live instances.
        targets: Returns all targets as they announce themselves.
        is_ready: Returns whether this instance may be the orderer.
        running_of: Returns how many requests of a model this instance runs on a
            target.
        tree: Returns the tree in force.
        now: Returns the current time in seconds.
    """

    instance_id: str
    incarnation: int
    data_centre: str
    propose: Propose
    session: Callable[[], ClientSession | None]
    send: Callable[[Outgoing], None]
    live: Callable[[], Mapping[str, InstanceRow]]
    targets: Callable[[], Mapping[str, Target]]
    is_ready: Callable[[], bool]
    running_of: Callable[[str, str], int]
    tree: Callable[[], EffectiveTree]
    now: Callable[[], float]


class OrderService:
    """Sends the orders of one data centre while this instance is its orderer.

    Two instances may both consider themselves the orderer while their views differ.
    The lease lets only one of them send orders at a time, and engines that check
    fencing numbers refuse the other.
    """

    def __init__(self, deps: OrderDeps) -> None:
        self._deps = deps
        self._table = OrderTable()
        holder = f"{deps.instance_id}/{deps.incarnation}"
        self._order_lease_manager = make_lease_manager(
            f"orders/{deps.data_centre}", holder, ORDER_DEADLINE_SECONDS
        )
        self._load_lease_manager = make_slot_lease_manager(
            WEIGHT_STORE_GROUP,
            lambda: deps.tree().fleet.weight_store_concurrent_loads,
            holder,
            ORDER_DEADLINE_SECONDS,
        )
        self._is_loading = False
        self._numbers = count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Collect the needed orders, and start those that may be sent now."""
        now_seconds = self._deps.now()
        declared = self._deps.tree().targets
        if not declared or not self._is_elected():
            self._release_leases(now_seconds)
            return
        due = self._table.collect_due(
            declared, self._own_engines(declared), now_seconds
        )
        if due or not self._table.is_idle():
            self._maintain_lease(self._order_lease_manager, now_seconds)
        for order in due:
            self._start_if_possible(order, declared[order.target_id], now_seconds)

    def handle_model_use_query(self, sender_id: str, message: ModelUseQuery) -> None:
        """Report to an orderer how many requests of a model run from this instance.

        Under an older tree new requests may still be sent to the target, so nothing
        is reported before the tree that removes the model is in force here.
        """
        revision = self._deps.tree().revision
        if revision >= message.revision:
            running = self._deps.running_of(message.target_id, message.model)
            use = ModelUse(message.target_id, message.model, revision, running)
            self._deps.send(Outgoing(sender_id, use))

    def handle_model_use(
        self, sender_id: str, incarnation: int, message: ModelUse
    ) -> None:
        """Record another instance's report, unless it is from an older tree.

        For a model that was removed, declared again and removed again, zeros were
        reported before. A late one of these would let the model be unloaded under
        requests that started in between.
        """
        if message.revision < self._deps.tree().revision:
            return
        process = (sender_id, incarnation)
        self._table.record_use(
            process,
            message.target_id,
            message.model,
            message.running,
        )

    async def close(self) -> None:
        """Wait for the orders in flight, which must not be cancelled."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _is_elected(self) -> bool:
        """Return whether this is the first ready instance of its data centre."""
        if not self._deps.is_ready():
            return False
        others = [
            row.instance_id
            for row in self._deps.live().values()
            if row.data_centre == self._deps.data_centre
            and row.state is InstanceState.READY
        ]
        return all(self._deps.instance_id < other for other in others)

    def _own_engines(self, declared: Mapping[str, TargetSettings]) -> list[Target]:
        """Return the live engines of this data centre that the tree declares."""
        return [
            target
            for target in self._deps.targets().values()
            if target.data_centre == self._deps.data_centre
            and target.target_id in declared
        ]

    def _start_if_possible(
        self, order: Order, settings: TargetSettings, now_seconds: float
    ) -> None:
        """Start an order if its target, leases and conditions allow it now."""
        target = self._deps.targets().get(order.target_id)
        if target is None:
            return
        if order.kind is OrderKind.UNLOAD and not self._is_unused(
            order, settings, now_seconds
        ):
            return
        if order.kind is OrderKind.LOAD:
            # One load at a time here, and only with a slot of the fleet's budget: the
            # weight store becomes slow for all when many engines load at once.
            self._maintain_lease(self._load_lease_manager, now_seconds)
            if self._is_loading or self._load_lease_manager.lease(now_seconds) is None:
                return
        number = self._order_lease_manager.order_number(
            target.checks_fencing, now_seconds
        )
        if number is None:
            return
        order_id = self._table.record_start(order, number)
        self._is_loading = self._is_loading or order.kind is OrderKind.LOAD
        self._start_task(self._carry_out(order, order_id, target, number))

    def _is_unused(
        self, order: Order, settings: TargetSettings, now_seconds: float
    ) -> bool:
        """Return whether a model may be unloaded; if not, query the other instances."""
        own = (self._deps.instance_id, self._deps.incarnation)
        live = self._deps.live().values()
        processes = [own, *((row.instance_id, row.incarnation) for row in live)]
        running = self._deps.running_of(order.target_id, order.subject)
        self._table.record_use(own, order.target_id, order.subject, running)
        if self._table.can_unload(order, settings, processes, now_seconds):
            return True
        if self._table.record_query_if_due(order, now_seconds):
            revision = self._deps.tree().revision
            query = ModelUseQuery(order.target_id, order.subject, revision)
            for instance_id, _ in processes[1:]:
                self._deps.send(Outgoing(instance_id, query))
        return False

    async def _carry_out(
        self, order: Order, order_id: str, target: Target, number: int
    ) -> None:
        """Send one order and record its outcome."""
        is_done = await self._post_order(order, order_id, target, number)
        now_seconds = self._deps.now()
        self._table.record_end(order, is_done, now_seconds)
        if order.kind is OrderKind.LOAD:
            self._is_loading = False
            self._release_lease(self._load_lease_manager, now_seconds)
        logger.info(
            "order %s",
            "done" if is_done else "failed",
            extra={"order": order_id, "fencing_number": number},
        )

    async def _post_order(
        self, order: Order, order_id: str, target: Target, number: int
    ) -> bool:
        """Send an order and return whether the engine reports it as done."""
        session = self._deps.session()
        if session is None:
            return False
        body = {
            "order_id": order_id,
            "kind": order.kind.value,
            "subject": order.subject,
            "fencing_number": number,
        }
        timeout = ClientTimeout(total=ORDER_DEADLINE_SECONDS)
        url = f"{target.url}/orders"
        try:
            async with session.post(url, json=body, timeout=timeout) as answer:
                if answer.headers.get(REFUSED_HEADER) == "fencing":
                    logger.warning("engine refused an order with an old fencing number")
                return answer.status == 200
        except (ClientError, TimeoutError, OSError) as error:
            logger.warning("sending an order failed: %r", error)
            return False

    def _maintain_lease(self, lease_manager: LeaseManager, now_seconds: float) -> None:
        """Acquire or renew a lease if that is due."""
        lease_command = lease_manager.decide(now_seconds)
        if lease_command is not None:
            self._start_task(self._propose_lease_command(lease_manager, lease_command))

    def _release_leases(self, now_seconds: float) -> None:
        """Release the leases once none of the orders is in flight."""
        if self._table.is_idle():
            self._release_lease(self._order_lease_manager, now_seconds)
            self._release_lease(self._load_lease_manager, now_seconds)

    def _release_lease(self, lease_manager: LeaseManager, now_seconds: float) -> None:
        released = lease_manager.release(now_seconds)
        if released is not None:
            self._start_task(self._propose_lease_command(lease_manager, released))

    async def _propose_lease_command(
        self, lease_manager: LeaseManager, lease_command: LeaseCommand
    ) -> None:
        """Propose a lease command and record its answer."""
        incarnation = self._deps.incarnation
        proposal = f"{self._deps.instance_id}/{incarnation}/lease/{next(self._numbers)}"
        answer: FencingAnswer | None = None
        try:
            answer = decode_answer(
                await self._deps.propose(
                    proposal, FENCING_MACHINE, encode_command(lease_command.command)
                )
            )
        except LogError as error:
            logger.info("lease command for orders failed: %s", error)
        lease_manager.record_answer(lease_command, answer, self._deps.now())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_order_service(deps: OrderDeps) -> OrderService:
    """Return the service that sends a data centre's orders; see ``OrderService``."""
    return OrderService(deps)
