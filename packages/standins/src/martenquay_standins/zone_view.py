"""Show the instance list as one zone reaches it."""

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
    """The instance list as one zone reaches it, through the network."""

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
        """Answer one request; addresses lead through the zone's links."""
        if scope.get("path") != "/instances":
            await self._app(scope, receive, send)
            return

        async def send_rewritten(message: Any) -> None:
            if message["type"] == "http.response.start":
                # The mapped list has another length.
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
