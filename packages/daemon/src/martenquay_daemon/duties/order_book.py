"""Keep the last order of each service, zone and kind of runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.duties import capacity_order, capacity_plan

if TYPE_CHECKING:
    from collections.abc import Sequence

    from martenquay_core.serving import catalog, runners

__all__ = ["OrderBook"]


class OrderBook:
    """The orders of the present lease holder."""

    def __init__(self) -> None:
        self._orders: dict[
            tuple[str, str, bool], capacity_order.CapacityOrder
        ] = {}

    def clear(self) -> None:
        """Forget all orders, as another holder may have ordered since."""
        self._orders.clear()

    def find(
        self, service: str, zone: str, *, is_reclaimable: bool
    ) -> capacity_order.CapacityOrder:
        """Return the last order of one kind in a zone."""
        return self._orders.setdefault(
            (service, zone, is_reclaimable), capacity_order.CapacityOrder()
        )

    def note_answer(
        self, service: str, order: capacity_plan.ZoneOrder, status: int
    ) -> None:
        """Record the answer to an order; status 0 for none."""
        last_order = self.find(
            service, order.zone, is_reclaimable=order.is_reclaimable
        )
        if not last_order.note_answer(status):
            return
        # Supply that returns in one zone probably does so in others as well.
        for (name, _, is_reclaimable), other in self._orders.items():
            if name == service and is_reclaimable == order.is_reclaimable:
                other.note_supply()

    def is_out_of_reclaimable(
        self, service: str, limits: catalog.ScalingLimits
    ) -> bool:
        """Return whether reclaimable runners were refused recently."""
        now = trio.current_time()
        return any(
            name == service
            and is_reclaimable
            and last_order.is_refused(now, limits.boot_s)
            for (name, _, is_reclaimable), last_order in self._orders.items()
        )

    def list_booting(
        self,
        service: str,
        limits: catalog.ScalingLimits,
        serving: Sequence[runners.Runner],
    ) -> tuple[capacity_plan.BootingRunners, ...]:
        """Return the runners that were ordered and don't serve yet."""
        now = trio.current_time()
        found = []
        for (name, zone, is_reclaimable), last_order in self._orders.items():
            if name != service:
                continue
            last_order.note_serving(
                sum(
                    one.zone == zone and one.is_reclaimable == is_reclaimable
                    for one in serving
                )
            )
            booting = last_order.count_booting(now, limits.boot_s)
            if booting > 0:
                found.append(
                    capacity_plan.BootingRunners(zone, is_reclaimable, booting)
                )
        return tuple(found)
