"""Fake cloud API that starts and stops runner instances."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from martenquay_core.platform import cloud, instances
from martenquay_standins import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_standins import instances as instance_list

    # Starts the server of an instance, given its name; returns its address.
    Launch = Callable[[str, cloud.InstanceOrder], Awaitable[str]]

__all__ = ["CloudStandIn"]


@dataclasses.dataclass
class CloudFaults(web.Faults):
    """Faults of the cloud API besides the common ones.

    Attributes:
        refused_zones: Availability zones in which starts are refused.
        refused_classes: Machine classes of which starts are refused.
    """

    refused_zones: list[str] = dataclasses.field(default_factory=list)
    refused_classes: list[str] = dataclasses.field(default_factory=list)


class CloudStandIn(web.StandIn):
    """Starts and stops instances and keeps the instance list current.

    Attributes:
        started: Names of started instances by order id.
    """

    def __init__(
        self,
        listed: instance_list.InstanceListStandIn,
        launch: Launch,
        prices: list[cloud.Price],
    ) -> None:
        super().__init__()
        self.faults: CloudFaults = CloudFaults()
        self.started: dict[str, str] = {}
        self._instance_list = listed
        self._launch = launch
        self._prices = prices

    async def handle(self, request: web.Request) -> None:
        """Serve `/instances` (start and stop) and `/prices`."""
        if await self.refuse_when_down(request):
            return
        match request.method, request.path:
            case "GET", "/prices":
                await web.reply_json(request.send, self._prices)
            case "POST", "/instances":
                await self._start(request)
            case "DELETE", path:
                name = path.removeprefix("/instances/")
                self._instance_list.remove(name)
                await web.reply_json(request.send, True)
            case _:
                await web.reply_json(request.send, {"error": "unknown"}, 404)

    async def _start(self, request: web.Request) -> None:
        order = msgspec.json.decode(request.body, type=cloud.InstanceOrder)
        if order.order_id not in self.started:
            if self._is_refused(order):
                await web.reply_json(request.send, {"error": "refused"}, 409)
                return
            await self._launch_instance(order)
        if await self.drop_answer(request):
            return
        started = cloud.Started(self.started[order.order_id])
        await web.reply_json(request.send, started)

    def _is_refused(self, order: cloud.InstanceOrder) -> bool:
        return (
            order.zone in self.faults.refused_zones
            or order.machine_class.value in self.faults.refused_classes
        )

    async def _launch_instance(self, order: cloud.InstanceOrder) -> None:
        name = f"{order.pool}-{order.zone}-{len(self.started)}"
        self.started[order.order_id] = name
        address = await self._launch(name, order)
        self._instance_list.put(
            instances.Instance(
                name=name,
                kind=instances.InstanceKind.RUNNER,
                partner=order.partner,
                zone=order.zone,
                address=address,
                pool=order.pool,
                machine_class=order.machine_class.value,
                price=self._find_price(order),
            )
        )

    def _find_price(self, order: cloud.InstanceOrder) -> float:
        for price in self._prices:
            if (price.zone, price.machine_class) == (
                order.zone,
                order.machine_class,
            ):
                return price.price
        return 1.0
