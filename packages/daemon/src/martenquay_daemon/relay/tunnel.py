"""Open a connection to a runner through another daemon with HTTP CONNECT."""

from __future__ import annotations

import http

import h11
import trio

from martenquay_daemon.forwarding import runner_connection as connections

__all__ = ["RelayUnreachableError", "TunnelRefusedError", "open_tunnel"]

_RECEIVE_BYTES = 4096


class RelayUnreachableError(connections.NotConnectedError):
    """The relay gave no response, which tells nothing about the runner."""


class TunnelRefusedError(connections.NotConnectedError):
    """The relay has opened no connection to the runner, so nothing was sent.

    `is_refused` tells that the runner's host refused the relay's connection.

    """

    def __init__(self, relay: str, status: int) -> None:
        super().__init__(
            f"relay {relay} answered {status}",
            is_refused=status == http.HTTPStatus.BAD_GATEWAY,
        )


async def open_tunnel(
    relay: str, address: str, timeout_s: float, max_use_s: float
) -> trio.SocketStream:
    """Return a stream that a relay connects to a runner.

    Args:
        relay: Host and port of the other daemon's relay.
        address: Host and port of the runner.
        timeout_s: Timeout for connecting to the relay, and for its response.
        max_use_s: Longest time for which the stream is used.

    Raises:
        RelayUnreachableError: The relay gave no response.
        TunnelRefusedError: The relay did not reach the runner.
    """
    try:
        opened = await connections.open_stream(relay, timeout_s, max_use_s)
    except connections.NotConnectedError as error:
        raise RelayUnreachableError(f"relay {relay}: {error}") from error
    try:
        with trio.fail_after(timeout_s):
            status = await _request_tunnel(opened.stream, address)
    except (
        trio.BrokenResourceError,
        trio.TooSlowError,
        h11.RemoteProtocolError,
    ) as error:
        await trio.aclose_forcefully(opened.stream)
        message = f"relay {relay} gave no response: {error!r}"
        raise RelayUnreachableError(message) from error
    except BaseException:
        await trio.aclose_forcefully(opened.stream)
        raise
    if status != http.HTTPStatus.OK:
        await trio.aclose_forcefully(opened.stream)
        raise TunnelRefusedError(relay, status)
    return opened.stream


async def _request_tunnel(stream: trio.SocketStream, address: str) -> int:
    """Send CONNECT and return the status of the response."""
    protocol = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="CONNECT", target=address, headers=[("host", address)]
    )
    head = protocol.send(request) or b""
    await stream.send_all(head + (protocol.send(h11.EndOfMessage()) or b""))
    while True:
        event = protocol.next_event()
        match event:
            case h11.Response(status_code=status):
                return status
            case h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(_RECEIVE_BYTES))
            case h11.ConnectionClosed():
                raise h11.RemoteProtocolError("closed without a response")
