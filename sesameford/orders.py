"""Which orders engines need, so that they have what the tree declares.

Pure: the table of orders under way and the decisions on it. ``order_service`` holds
the leases and speaks with engines.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf

from sesameford.effective import TargetSettings
from sesameford.tables import Target, TargetKind

ORDER_DEADLINE_SECONDS = 60.0
RETRY_SECONDS = 5.0
ASK_AGAIN_SECONDS = 1.0


class OrderKind(StrEnum):
    """What an engine can be told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one incarnation of an engine."""

    target_id: str
    incarnation: int
    kind: OrderKind
    subject: str


class OrderBook:
    """Orders that are done, under way or to be tried again, at one orderer."""

    def __init__(self) -> None:
        self._done: set[Order] = set()
        self._under_way: set[Order] = set()
        self._retry_at_seconds: dict[Order, float] = {}
        self._since_seconds: dict[Order, float] = {}
        self._episodes: dict[Order, int] = {}
        self._episode = 0
        self._uses: dict[Order, dict[tuple[str, int], int]] = {}
        self._asked_at_seconds: dict[Order, float] = {}

    def due(
        self,
        declared: Mapping[str, TargetSettings],
        targets: Collection[Target],
        now_seconds: float,
    ) -> Sequence[Order]:
        """Return the orders that are needed and neither done nor under way.

        Args:
            declared: What the tree says of targets.
            targets: The live engines that this orderer is for, as they announce
                themselves.
            now_seconds: The present time.
        """
        needed = {
            order
            for target in targets
            if target.target_id in declared
            for order in needed_orders(declared[target.target_id], target)
        }
        self._forget_all_but(needed)
        for order in needed - self._since_seconds.keys():
            self._since_seconds[order] = now_seconds
            self._episode += 1
            self._episodes[order] = self._episode
        return sorted(
            (
                order
                for order in needed - self._done - self._under_way
                if self._retry_at_seconds.get(order, -inf) <= now_seconds
            ),
            key=lambda order: self._episodes[order],
        )

    def may_unload(
        self,
        order: Order,
        settings: TargetSettings,
        processes: Collection[tuple[str, int]],
        now_seconds: float,
    ) -> bool:
        """Return whether no request of a model runs on its engine any more.

        Taken away earlier, the model would cut the answers that are still under way.
        Each live process has told, under a tree that sends nothing new there, that
        nothing runs from it; what is zero under that tree stays zero.

        Args:
            order: The unloading.
            settings: Its target's, which may give a deadline.
            processes: Id and incarnation of every live instance.
            now_seconds: The present time.
        """
        deadline_seconds = settings.unload_deadline_seconds
        waited_seconds = now_seconds - self._since_seconds.get(order, now_seconds)
        if deadline_seconds is not None and waited_seconds >= deadline_seconds:
            return True
        uses = self._uses.get(order, {})
        return all(uses.get(one) == 0 for one in processes)

    def must_ask(self, order: Order, now_seconds: float) -> bool:
        """Return whether to ask the instances of a model's use, first or again."""
        asked_seconds = self._asked_at_seconds.get(order, -inf)
        if now_seconds - asked_seconds < ASK_AGAIN_SECONDS:
            return False
        self._asked_at_seconds[order] = now_seconds
        return True

    def use_told(
        self,
        process: tuple[str, int],
        target_id: str,
        model: str,
        running: int,
    ) -> None:
        """Take a process's word on how many requests of a model run from it."""
        for order in self._since_seconds:
            names = (order.target_id, order.kind, order.subject)
            if names == (target_id, OrderKind.UNLOAD, model):
                self._uses.setdefault(order, {})[process] = running

    def began(self, order: Order, number: int) -> str:
        """Note that an order is on its way to its engine.

        Args:
            order: The order.
            number: The fencing number that it goes under.

        Returns:
            The id by which the engine recognises the order when it is tried again. A
            model that is taken away and brought back needs an order that is not
            taken for the first one, so the id also counts how often it was needed.
        """
        self._under_way.add(order)
        name = f"{order.target_id}/{order.incarnation}/{order.kind}/{order.subject}"
        return f"{number}.{self._episodes[order]}/{name}"

    def ended(self, order: Order, is_done: bool, now_seconds: float) -> None:
        """Note how an order ended; one that failed is tried again."""
        self._under_way.discard(order)
        if is_done:
            self._done.add(order)
        else:
            self._retry_at_seconds[order] = now_seconds + RETRY_SECONDS

    def is_idle(self) -> bool:
        """Return whether no order is on its way."""
        return not self._under_way

    def _forget_all_but(self, needed: Collection[Order]) -> None:
        """Forget orders that nobody needs any more, so that tables stay small."""
        for order in self._since_seconds.keys() - needed:
            del self._since_seconds[order], self._episodes[order]
            self._retry_at_seconds.pop(order, None)
            self._asked_at_seconds.pop(order, None)
            self._uses.pop(order, None)
        self._done &= set(needed)


def needed_orders(settings: TargetSettings, target: Target) -> Sequence[Order]:
    """Return the orders that bring an engine to what the tree declares.

    Args:
        settings: The declaration.
        target: The engine as it announces itself.

    Returns:
        Loads before unloads, so that an engine is never without any model.
    """
    if target.kind is not TargetKind.MODEL or target.leaving:
        return []
    wanted: list[tuple[OrderKind, str]] = []
    if settings.models:
        loads = [model for model in settings.models if model not in target.serves]
        extra = [model for model in target.serves if model not in settings.models]
        wanted += [(OrderKind.LOAD, model) for model in loads]
        if not loads:
            wanted += [(OrderKind.UNLOAD, model) for model in extra]
    wanted += [(OrderKind.ADAPTER, name) for name in settings.adapters]
    if settings.version:
        wanted.append((OrderKind.VERSION, settings.version))
    if settings.role:
        wanted.append((OrderKind.ROLE, settings.role))
    return [
        Order(target.target_id, target.incarnation, kind, subject)
        for kind, subject in wanted
    ]
