"""Make one call at a runner over a connection of its own.

httpcore sends a request again by itself when a kept connection turns out to
be closed, and hides whether anything was sent; calls that may not run twice
need to know. h11, on which httpcore rests, is used directly instead. Each
call gets a fresh connection: a runner that is gone is found before anything
was sent, and no late answer to another request can come first.
"""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

import h11
import trio

from martenquay_core.util import keepalive

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from martenquay_core.serving import calls

__all__ = [
    "BrokenAnswerError",
    "NotConnectedError",
    "RunnerConnection",
    "RunnerRequest",
    "connect_runner",
]

_RECEIVE_BYTES = 65_536
# Closing resets: what a cut holds up of a request that was given up must not
# reach the runner when the cut heals.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# A runner that works says nothing for long, so only the kernel can tell; its
# machine answers in a few ms. Found out after 3 s: two asks may be lost on a
# bad way once in a thousand times, a request must not be given up for one.
_SILENCE = keepalive.KeepAlive(idle_s=1, probes=2)


class NotConnectedError(Exception):
    """No connection came up, so nothing was sent.

    Attributes:
        is_refused: The machine answered that nobody listens there.
    """

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        super().__init__(reason)
        self.is_refused = is_refused


class BrokenAnswerError(Exception):
    """The runner broke off or sent what is no answer."""


@dataclasses.dataclass(frozen=True)
class RunnerRequest:
    """What goes out to a runner.

    Attributes:
        method: The HTTP method.
        target: Path and query.
        headers: All headers, with the body's length if there is one.
        body: The whole body.
    """

    method: str
    target: str
    headers: calls.Headers
    body: bytes = b""


class RunnerConnection:
    """One connection, used for one request and its answer.

    Attributes:
        heard_at: When the runner last sent something or the connection came
            up, in trio's time.
        has_answered: The answer's head has come.
        has_begun: The first event of a stream has come.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.heard_at = trio.current_time()
        self.has_answered = False
        self.has_begun = False
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def send_request(self, request: RunnerRequest) -> None:
        """Send the request.

        Raises:
            BrokenAnswerError: The connection broke; it may have run.
        """
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise BrokenAnswerError(f"while sending: {error}") from error

    async def read_head(self) -> tuple[int, calls.Headers]:
        """Return status and headers of the answer.

        Raises:
            BrokenAnswerError: No answer came, or bytes that form none.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Response(status_code=status, headers=headers):
                    self.has_answered = True
                    return status, list(headers)
                case h11.InformationalResponse():
                    continue
                case _:
                    raise BrokenAnswerError("closed without an answer")

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the body's pieces as they come.

        Raises:
            BrokenAnswerError: The body ended early.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Data(data=data):
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise BrokenAnswerError("closed in mid-answer")

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenAnswerError: The body ended early.
        """
        pieces = [piece async for piece in self.iterate_body()]
        return b"".join(pieces)

    async def close(self) -> None:
        """Close at once; a runner that is at work sees that nobody waits."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise BrokenAnswerError(f"no HTTP answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                # A reset also ends answers that have no length of their own,
                # so it must never pass for the answer's end.
                raise BrokenAnswerError(f"reset: {error}") from error
            self.heard_at = trio.current_time()
            self._http.receive_data(data)


@contextlib.asynccontextmanager
async def connect_runner(
    address: str, timeout_s: float, *, lasts_s: float = 0.0
) -> AsyncIterator[RunnerConnection]:
    """Open a connection to `address` (host and port); leaving closes it.

    Args:
        address: Host and port.
        timeout_s: In which it has to come up.
        lasts_s: How long it may be used. One that may outlast its kernel's
            patience has the kernel ask; for others the calls would be in vain.

    Raises:
        NotConnectedError: It did not come up within `timeout_s`.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        if lasts_s > _SILENCE.unacknowledged_s:
            keepalive.enable_keepalive(sock, _SILENCE)
        with trio.fail_after(timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        reason = str(error) or f"no answer in {timeout_s:.3f} s"
        is_refused = isinstance(error, ConnectionRefusedError)
        raise NotConnectedError(reason, is_refused=is_refused) from error
    except BaseException:
        sock.close()
        raise
    connection = RunnerConnection(trio.SocketStream(sock))
    try:
        yield connection
    finally:
        await connection.close()
