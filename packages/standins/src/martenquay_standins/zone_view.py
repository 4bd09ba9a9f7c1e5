"""Instance list whose addresses point to the forwarders of one zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from martenquay_core.platform import instances

if TYPE_CHECKING:
    from martenquay_core.util import serving
    from martenquay_standins import instances as instance_list
    from martenquay_standins import network

__all__ = ["ZoneView"]


class ZoneView:
    """ASGI app that serves the instance list with rewritten addresses."""

    def __init__(
        self,
        app: instance_list.InstanceListStandIn,
        zone_network: network.Network,
        zone: str,
    ) -> None:
        self._app = app
        self._network = zone_network
        self._zone = zone

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Serve one request, rewriting addresses to the zone's forwarders."""
        if scope.get("path") != "/instances":
            await self._app(scope, receive, send)
            return

        async def send_rewritten(message: Any) -> None:
            if message["type"] == "http.response.start":
                # Rewritten addresses change the length of the body.
                message["headers"] = [
                    (name, value)
                    for name, value in message["headers"]
                    if name != b"content-length"
                ]
            elif message.get("body"):
                message["body"] = await self._rewrite_addresses(message["body"])
            await send(message)

        await self._app(scope, receive, send_rewritten)

    async def _rewrite_addresses(self, body: bytes) -> bytes:
        listed = msgspec.json.decode(body, type=list[instances.Instance])
        rewritten = [
            msgspec.structs.replace(
                item,
                address=await self._network.link(
                    self._zone, item.zone, item.address
                ),
            )
            for item in listed
        ]
        return msgspec.json.encode(rewritten)
