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
from sesameford.orders import ORDER_DEADLINE_SECONDS, Order, OrderBook, OrderKind
from sesameford.state_machine import Propose
from sesameford.tables import InstanceRow, InstanceState, Target

logger = logging.getLogger(__name__)

FENCING_MACHINE = "fencing"
REFUSED_HEADER = "X-Refused"


@dataclass(frozen=True, slots=True)
class OrderDeps:
    """What sending orders needs.

    Args:
        instance_id: This instance.
        incarnation: Of its process.
        data_centre: Whose engines it may order.
        propose: Brings a command to agreement.
        session: The session for targets; None before the instance has started.
        send: Sends a message to other instances.
        live: The other instances that are heard.
        targets: All targets as they announce themselves.
        is_ready: Whether this instance may be the orderer.
        running_of: How many requests of a model run from here on a target.
        tree: The tree in force.
        now: The present time in seconds.
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
    """Gives the orders of one data centre while this instance is elected to.

    Two may take themselves for elected while views differ; the lease lets one of
    them order at a time, and engines that check numbers refuse the other.
    """

    def __init__(self, deps: OrderDeps) -> None:
        self._deps = deps
        self._book = OrderBook()
        holder = f"{deps.instance_id}/{deps.incarnation}"
        self._keeper = make_lease_manager(
            f"orders/{deps.data_centre}", holder, ORDER_DEADLINE_SECONDS
        )
        self._loads = make_slot_lease_manager(
            WEIGHT_STORE_GROUP,
            lambda: deps.tree().fleet.weight_store_concurrent_loads,
            holder,
            ORDER_DEADLINE_SECONDS,
        )
        self._loading = False
        self._numbers = count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Look for orders that are needed, and give those that may be given."""
        now_seconds = self._deps.now()
        declared = self._deps.tree().targets
        if not declared or not self._is_elected():
            self._let_go(now_seconds)
            return
        due = self._book.due(declared, self._own_engines(declared), now_seconds)
        if due or not self._book.is_idle():
            self._keep(self._keeper, now_seconds)
        for order in due:
            self._consider(order, declared[order.target_id], now_seconds)

    def handle_model_use_query(self, sender_id: str, message: ModelUseQuery) -> None:
        """Tell an orderer how many requests of a model run from here.

        Under an older tree new ones may still be sent there, so nothing is told
        before the tree that takes the model away is in force here.
        """
        revision = self._deps.tree().revision
        if revision >= message.revision:
            running = self._deps.running_of(message.target_id, message.model)
            use = ModelUse(message.target_id, message.model, revision, running)
            self._deps.send(Outgoing(sender_id, use))

    def handle_model_use(
        self, sender_id: str, incarnation: int, message: ModelUse
    ) -> None:
        """Take another instance's answer, unless it is of an older tree.

        A model that was taken away, brought back and taken away again has had zeros
        told of it before. One that arrives late would let it be unloaded under
        requests of the time between.
        """
        if message.revision < self._deps.tree().revision:
            return
        process = (sender_id, incarnation)
        self._book.use_told(
            process,
            message.target_id,
            message.model,
            message.running,
        )

    async def close(self) -> None:
        """Wait for the orders that are under way; they are not to be cut."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _is_elected(self) -> bool:
        """Return whether this is the first ready instance of its data centre."""
        if not self._deps.is_ready():
            return False
        others = [
            one.instance_id
            for one in self._deps.live().values()
            if one.data_centre == self._deps.data_centre
            and one.state is InstanceState.READY
        ]
        return all(self._deps.instance_id < other for other in others)

    def _own_engines(self, declared: Mapping[str, TargetSettings]) -> list[Target]:
        """Return the live engines of this data centre that the tree speaks of."""
        return [
            target
            for target in self._deps.targets().values()
            if target.data_centre == self._deps.data_centre
            and target.target_id in declared
        ]

    def _consider(
        self, order: Order, settings: TargetSettings, now_seconds: float
    ) -> None:
        """Give an order if all that it needs is there."""
        target = self._deps.targets().get(order.target_id)
        if target is None:
            return
        if order.kind is OrderKind.UNLOAD and not self._is_unused(
            order, settings, now_seconds
        ):
            return
        if order.kind is OrderKind.LOAD:
            # One load at a time here, and under a slot of the fleet's budget: the
            # weight store is slow for all when many engines load at once.
            self._keep(self._loads, now_seconds)
            if self._loading or self._loads.lease(now_seconds) is None:
                return
        number = self._keeper.order_number(target.checks_fencing, now_seconds)
        if number is None:
            return
        order_id = self._book.began(order, number)
        self._loading = self._loading or order.kind is OrderKind.LOAD
        self._start(self._give(order, order_id, target, number))

    def _is_unused(
        self, order: Order, settings: TargetSettings, now_seconds: float
    ) -> bool:
        """Return whether a model may be taken away; ask around where it may not."""
        own = (self._deps.instance_id, self._deps.incarnation)
        live = self._deps.live().values()
        processes = [own, *((one.instance_id, one.incarnation) for one in live)]
        running = self._deps.running_of(order.target_id, order.subject)
        self._book.use_told(own, order.target_id, order.subject, running)
        if self._book.may_unload(order, settings, processes, now_seconds):
            return True
        if self._book.must_ask(order, now_seconds):
            revision = self._deps.tree().revision
            wanted = ModelUseQuery(order.target_id, order.subject, revision)
            for instance_id, _ in processes[1:]:
                self._deps.send(Outgoing(instance_id, wanted))
        return False

    async def _give(
        self, order: Order, order_id: str, target: Target, number: int
    ) -> None:
        """Send one order and note how it ended."""
        is_done = await self._post(order, order_id, target, number)
        now_seconds = self._deps.now()
        self._book.ended(order, is_done, now_seconds)
        if order.kind is OrderKind.LOAD:
            self._loading = False
            self._release(self._loads, now_seconds)
        logger.info(
            "order %s",
            "done" if is_done else "failed",
            extra={"order": order_id, "fencing_number": number},
        )

    async def _post(
        self, order: Order, order_id: str, target: Target, number: int
    ) -> bool:
        """Return whether an engine says that it has carried an order out."""
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
                    logger.warning("an engine knows of a later orderer than this")
                return answer.status == 200
        except (ClientError, TimeoutError, OSError) as error:
            logger.warning("an order broke: %r", error)
            return False

    def _keep(self, lease_manager: LeaseManager, now_seconds: float) -> None:
        """Ask for a lease or renew it, where that is due."""
        lease_command = lease_manager.decide(now_seconds)
        if lease_command is not None:
            self._start(self._ask(lease_manager, lease_command))

    def _let_go(self, now_seconds: float) -> None:
        """Give the leases back once none of the orders is under way."""
        if self._book.is_idle():
            self._release(self._keeper, now_seconds)
            self._release(self._loads, now_seconds)

    def _release(self, lease_manager: LeaseManager, now_seconds: float) -> None:
        released = lease_manager.release(now_seconds)
        if released is not None:
            self._start(self._ask(lease_manager, released))

    async def _ask(
        self, lease_manager: LeaseManager, lease_command: LeaseCommand
    ) -> None:
        """Propose a command of a lease and hand its answer back."""
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
            logger.info("no lease for orders: %s", error)
        lease_manager.record_answer(lease_command, answer, self._deps.now())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_order_service(deps: OrderDeps) -> OrderService:
    """Return the service that gives a data centre's orders; see ``OrderService``."""
    return OrderService(deps)
