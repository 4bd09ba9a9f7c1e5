"""Check whether the process of a runner has ended."""

from __future__ import annotations

from martenquay_daemon.forwarding import runner_connection as connections

__all__ = ["has_ended"]

# Short, as the caller waits for the check.
_CONNECT_TIMEOUT_S = 0.1


async def has_ended(
    address: str,
    opener: connections.StreamOpener = connections.open_stream,
) -> bool:
    """Return whether a runner has ended: its host refuses connections to it.

    After a broken response, a runner that still accepts connections has sent
    an invalid response or lost one connection, but has not crashed. A timeout
    is no evidence of a crash: the runner may be unreachable.

    Args:
        address: Host and port of the runner.
        opener: Connects to it; one that also tries other daemons' paths does
            not take a lost path for a crash.
    """
    try:
        async with connections.connect_runner(
            address, _CONNECT_TIMEOUT_S, opener=opener
        ):
            return False
    except connections.NotConnectedError as error:
        return error.is_refused
