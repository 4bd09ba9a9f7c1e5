"""Run stand-ins as servers, several in one trio run."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.util import server

if TYPE_CHECKING:
    from martenquay_standins import web

__all__ = ["RunningStandIn", "start_stand_in"]


@dataclasses.dataclass
class RunningStandIn:
    """A stand-in that listens.

    Attributes:
        app: The stand-in.
        address: Where it listens.
        scope: Cancelled to kill it: open connections break.
    """

    app: web.StandIn
    address: str
    scope: trio.CancelScope

    def kill(self) -> None:
        """End it at once."""
        self.scope.cancel()


async def start_stand_in(
    nursery: trio.Nursery, app: web.StandIn, address: str = "127.0.0.1:0"
) -> RunningStandIn:
    """Start a stand-in and return it once it listens."""
    scope = trio.CancelScope()

    async def run(*, task_status: trio.TaskStatus[str]) -> None:
        with scope:
            await server.serve_app(
                app, server.ServerOptions(address), task_status=task_status
            )

    bound = await nursery.start(run)
    return RunningStandIn(app, bound, scope)
