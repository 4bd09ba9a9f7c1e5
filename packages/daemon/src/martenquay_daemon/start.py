"""Listen on all of a daemon's addresses before callers are served."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.util import listening

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.settings import gateway
    from martenquay_daemon import gateway_parts, readiness

__all__ = ["Failed", "Listening", "Outcome", "Stopped", "listen_on_all"]


@dataclasses.dataclass(frozen=True)
class Listening:
    """The daemon listens on all addresses that it needs."""


@dataclasses.dataclass(frozen=True)
class Stopped:
    """A planned stop came before the daemon listened on all addresses."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """An address cannot be listened on.

    Attributes:
        message: Which one, and why.
    """

    message: str


Outcome = Listening | Stopped | Failed


async def listen_on_all(
    settings: gateway.GatewaySettings,
    parts: gateway_parts.GatewayParts,
    readiness_server: readiness.ReadinessServer,
    stop: trio.Event,
) -> Outcome:
    """Listen on all addresses, waiting for those that are taken.

    Args:
        settings: Settings with the addresses.
        parts: The parts that listen.
        readiness_server: Listens for readiness checks.
        stop: Set by a planned stop.

    Returns:
        `Listening` if the callers' listener accepts connections, also when a
        stop arrives at that moment: they have to be served.
    """
    outcome: Outcome = Stopped()
    if stop.is_set():
        return outcome
    async with trio.open_nursery() as nursery:

        async def cancel_on_stop() -> None:
            await stop.wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_on_stop)
        outcome = await _listen(settings, parts, readiness_server)
        nursery.cancel_scope.cancel()
    return outcome


async def _listen(
    settings: gateway.GatewaySettings,
    parts: gateway_parts.GatewayParts,
    readiness_server: readiness.ReadinessServer,
) -> Listening | Failed:
    # The process that held the addresses before is killed after its grace
    # time.
    deadline = trio.current_time() + settings.bounds.grace_s
    listen = settings.listen
    # Without a relay the daemon can serve; it tries again while it runs.
    parts.relay.listen()
    steps: list[tuple[str, str, Callable[[], None]]] = [
        ("listen.readiness", listen.readiness, readiness_server.listen),
        (
            "listen.peer_port",
            f"{listen.ip}:{listen.peer_port}",
            parts.links.listen,
        ),
        # Last: connections in the queue of a process that then ends are lost.
        ("listen.callers", listen.callers, parts.listener.listen),
    ]
    for setting, address, open_address in steps:
        endpoint = listening.Endpoint(setting, address)
        opened = await listening.try_until(deadline, endpoint, open_address)
        if opened.is_error():
            return Failed(opened.error)
    return Listening()
