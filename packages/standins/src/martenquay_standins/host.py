"""Start fake servers in a nursery."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.util import server
from martenquay_standins import loopback

if TYPE_CHECKING:
    from martenquay_standins import web

__all__ = ["RunningStandIn", "start_stand_in"]


@dataclasses.dataclass
class RunningStandIn:
    """A fake server that is listening.

    Attributes:
        app: Its ASGI app.
        address: Its host and port.
        scope: Cancelling it stops the server and breaks open connections.
    """

    app: web.StandIn
    address: str
    scope: trio.CancelScope

    def kill(self) -> None:
        """Stop the server at once, breaking open connections."""
        self.scope.cancel()


async def start_stand_in(
    nursery: trio.Nursery,
    app: web.StandIn,
    address: str = loopback.create_address(),
) -> RunningStandIn:
    """Start a fake server and return it once it listens."""
    scope = trio.CancelScope()

    async def run(*, task_status: trio.TaskStatus[str]) -> None:
        with scope:
            await server.serve_app(
                app, server.ServerOptions(address), task_status=task_status
            )

    bound = await nursery.start(run)
    return RunningStandIn(app, bound, scope)
