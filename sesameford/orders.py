"""Decides which orders bring engines to the state that the settings tree declares.

Does no I/O: the table of orders and the decisions on it. ``order_service`` holds the
leases and sends the orders to engines.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf

from sesameford.effective import TargetSettings
from sesameford.tables import Target, TargetKind

ORDER_DEADLINE_SECONDS = 60.0
RETRY_DELAY_SECONDS = 5.0
USE_QUERY_INTERVAL_SECONDS = 1.0


class OrderKind(StrEnum):
    """The kind of an order; its subject is a model, adapter, version or role."""

    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one incarnation of an engine."""

    target_id: str
    incarnation: int
    kind: OrderKind
    subject: str


class OrderTable:
    """The orders of one orderer that are done, in flight or to be retried."""

    def __init__(self) -> None:
        self._done: set[Order] = set()
        self._in_flight: set[Order] = set()
        self._retry_at_seconds: dict[Order, float] = {}
        self._needed_since_seconds: dict[Order, float] = {}
        self._need_numbers: dict[Order, int] = {}
        self._last_need_number = 0
        self._uses_by_order: dict[Order, dict[tuple[str, int], int]] = {}
        self._queried_at_seconds: dict[Order, float] = {}

    def collect_due(
        self,
        declared: Mapping[str, TargetSettings],
        targets: Collection[Target],
        now_seconds: float,
    ) -> Sequence[Order]:
        """Return the needed orders that are neither done nor in flight, oldest first.

        Args:
            declared: The tree's settings by target.
            targets: The live engines of this orderer, as they announce themselves.
            now_seconds: The current time.
        """
        needed = {
            order
            for target in targets
            if target.target_id in declared
            for order in needed_orders(declared[target.target_id], target)
        }
        self._remove_unneeded(needed)
        for order in needed - self._needed_since_seconds.keys():
            self._needed_since_seconds[order] = now_seconds
            self._last_need_number += 1
            self._need_numbers[order] = self._last_need_number
        return sorted(
            (
                order
                for order in needed - self._done - self._in_flight
                if self._retry_at_seconds.get(order, -inf) <= now_seconds
            ),
            key=lambda order: self._need_numbers[order],
        )

    def can_unload(
        self,
        order: Order,
        settings: TargetSettings,
        processes: Collection[tuple[str, int]],
        now_seconds: float,
    ) -> bool:
        """Return whether a model may be unloaded: no request of it runs any more.

        An earlier unload would cut answers that are still being written. Every live
        process must have reported zero running requests under a tree that sends no
        new ones there; under that tree zero stays zero.

        Args:
            order: The order to unload.
            settings: The settings of its target, which may set a deadline.
            processes: Id and incarnation of every live instance.
            now_seconds: The current time.
        """
        deadline_seconds = settings.unload_deadline_seconds
        waited_seconds = now_seconds - self._needed_since_seconds.get(
            order, now_seconds
        )
        if deadline_seconds is not None and waited_seconds >= deadline_seconds:
            return True
        use_by_process = self._uses_by_order.get(order, {})
        return all(use_by_process.get(process) == 0 for process in processes)

    def record_query_if_due(self, order: Order, now_seconds: float) -> bool:
        """Return whether to query the instances for a model's use now.

        If so, the query is recorded, and the next one is due after the interval.
        """
        queried_at_seconds = self._queried_at_seconds.get(order, -inf)
        if now_seconds - queried_at_seconds < USE_QUERY_INTERVAL_SECONDS:
            return False
        self._queried_at_seconds[order] = now_seconds
        return True

    def record_use(
        self,
        process: tuple[str, int],
        target_id: str,
        model: str,
        running: int,
    ) -> None:
        """Record how many requests of a model run from a process."""
        for order in self._needed_since_seconds:
            names = (order.target_id, order.kind, order.subject)
            if names == (target_id, OrderKind.UNLOAD, model):
                self._uses_by_order.setdefault(order, {})[process] = running

    def record_start(self, order: Order, number: int) -> str:
        """Record that an order is sent to its engine.

        Args:
            order: The order.
            number: The fencing number under which it is sent.

        Returns:
            The id by which the engine recognises a retry of the order. A model that
            is removed and declared again needs an order that isn't taken for the
            first one, so the id also contains the number of the need.
        """
        self._in_flight.add(order)
        name = f"{order.target_id}/{order.incarnation}/{order.kind}/{order.subject}"
        return f"{number}.{self._need_numbers[order]}/{name}"

    def record_end(self, order: Order, is_done: bool, now_seconds: float) -> None:
        """Record whether an order was done; a failed one is retried after a delay."""
        self._in_flight.discard(order)
        if is_done:
            self._done.add(order)
        else:
            self._retry_at_seconds[order] = now_seconds + RETRY_DELAY_SECONDS

    def is_idle(self) -> bool:
        """Return whether no order is in flight."""
        return not self._in_flight

    def _remove_unneeded(self, needed: Collection[Order]) -> None:
        """Remove the orders that are no longer needed, so that tables stay small."""
        for order in self._needed_since_seconds.keys() - needed:
            del self._needed_since_seconds[order], self._need_numbers[order]
            self._retry_at_seconds.pop(order, None)
            self._queried_at_seconds.pop(order, None)
            self._uses_by_order.pop(order, None)
        self._done &= set(needed)


def needed_orders(settings: TargetSettings, target: Target) -> Sequence[Order]:
    """Return the orders that bring an engine to its declared state.

    Args:
        settings: The tree's settings of the target.
        target: The engine as it announces itself.

    Returns:
        The orders. Unloads follow only once all loads are done, so that an engine is
        never without any model.
    """
    if target.kind is not TargetKind.MODEL or target.leaving:
        return []
    needed: list[tuple[OrderKind, str]] = []
    if settings.models:
        loads = [model for model in settings.models if model not in target.serves]
        extra = [model for model in target.serves if model not in settings.models]
        needed += [(OrderKind.LOAD, model) for model in loads]
        if not loads:
            needed += [(OrderKind.UNLOAD, model) for model in extra]
    needed += [(OrderKind.ADAPTER, name) for name in settings.adapters]
    if settings.version:
        needed.append((OrderKind.VERSION, settings.version))
    if settings.role:
        needed.append((OrderKind.ROLE, settings.role))
    return [
        Order(target.target_id, target.incarnation, kind, subject)
        for kind, subject in needed
    ]
