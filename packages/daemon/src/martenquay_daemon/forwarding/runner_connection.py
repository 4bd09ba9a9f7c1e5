"""HTTP/1.1 client that sends one request to a runner on a new connection.

It uses h11 directly, since httpcore retries on its own when a pooled
connection is closed and hides whether the request was sent, which decides
whether a non-idempotent request may be retried. A new connection for each
request finds a dead runner before anything is sent.
"""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

import h11
import trio

from martenquay_core.util import head_lines, http, keepalive, resets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from martenquay_core.serving import calls

    # Gets the runner's address, the timeout for connecting and the longest
    # time for which the stream is used, in seconds.
    StreamOpener = Callable[[str, float, float], Awaitable["OpenedStream"]]

__all__ = [
    "MAX_ANSWER_BYTES",
    "BrokenAnswerError",
    "NotConnectedError",
    "OpenedStream",
    "RunnerConnection",
    "RunnerRequest",
    "connect_runner",
    "open_stream",
]

# Body of an answer that is held whole; streams have no bound of this kind. The
# pages set it for bodies of requests (the default of `MaxBodyBytes`).
MAX_ANSWER_BYTES = 4_194_304
_MIN_FAILURE_STATUS = 300
_RECEIVE_BYTES = 16_384
# Larger bodies are sent behind the head rather than copied into one piece.
_MAX_JOINED_BYTES = 16_384
# Bytes that are no body: heads, interim answers, trailers, and what frames
# chunks. A chunk of one byte has five others and takes 15 us or more, so an
# answer of 13,000 of them is accepted; a larger one has to have no more framing
# than body.
_MAX_FRAMING_BYTES = 65_536
# Parts of one read that are parsed without a checkpoint: about 5 ms, as each
# chunk takes some 15 us.
_PARTS_PER_STEP = 256
# SO_LINGER with a timeout of 0 s: close() resets the connection. Otherwise the
# kernel would retransmit an abandoned request after a network partition.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A working runner may send nothing for long, so TCP keep-alive has to find one
# that is gone. Two probes, so that one lost packet ends no request.
_KEEPALIVE = keepalive.KeepAlive(idle_s=1, probes=2)


def _ignore_size(size: int) -> None:
    """Accept any size."""


class NotConnectedError(Exception):
    """The connection could not be opened, so nothing was sent.

    Attributes:
        is_refused: The runner's host refused the connection.
    """

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        super().__init__(reason)
        self.is_refused = is_refused


class BrokenAnswerError(Exception):
    """The connection broke or the response is incomplete or not HTTP."""


@dataclasses.dataclass(frozen=True)
class RunnerRequest:
    """An HTTP request to a runner.

    Attributes:
        method: The HTTP method.
        target: Path and query.
        headers: All headers, including those that frame the body.
        body: The whole body.
    """

    method: str
    target: str
    headers: calls.Headers
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class OpenedStream:
    """A stream to a runner and the path that it takes.

    Attributes:
        stream: The open stream.
        reopen: Opens another stream over the same path.
        relay: Address of the daemon that relays the stream; empty if the path
            is direct.
    """

    stream: trio.SocketStream
    reopen: StreamOpener
    relay: str = ""


class RunnerConnection:
    """A connection to a runner, for one request and its response.

    Attributes:
        reopen: Opens another stream to the runner over the same path.
        relay: Address of the daemon that relays the connection; empty if it is
            direct.
        last_activity_at: When the runner last sent bytes, or else when the
            connection opened, on trio's clock.
        last_progress_at: When the runner last sent bytes that completed the
            head or an event of a stream, or were part of the body of a plain
            success; or else when the connection opened.
        has_response_head: The response head has been received.
        has_first_event: The first event of a stream has been received.
        has_peer_closed: The runner has closed or reset the connection. False
            after a timeout, when the runner may still be at work.
    """

    def __init__(self, opened: OpenedStream) -> None:
        self.reopen = opened.reopen
        self.relay = opened.relay
        self.last_activity_at = trio.current_time()
        self.last_progress_at = self.last_activity_at
        self.has_response_head = False
        self.has_first_event = False
        self.has_peer_closed = False
        self._stream = opened.stream
        self._http = h11.Connection(h11.CLIENT)
        self._head_lines = head_lines.HeadLines()
        self._received_bytes = 0
        self._body_bytes = 0
        self._parts = 0
        # As the head announces; 0 if it does not.
        self._length = 0
        self._is_success = False
        self._may_hide_reset = False

    @property
    def stalled_s(self) -> float:
        """For how long the runner has sent bytes that made no progress."""
        return self.last_activity_at - self.last_progress_at

    async def send_request(self, request: RunnerRequest) -> None:
        """Send the request.

        Raises:
            BrokenAnswerError: The connection broke; the request may have run.
        """
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        data = self._http.send(head) or b""
        body = b""
        if request.body:
            body = self._http.send(h11.Data(data=request.body)) or b""
        # A codec frames bodies by their length, so nothing follows them.
        self._http.send(h11.EndOfMessage())
        if len(body) <= _MAX_JOINED_BYTES:
            data, body = data + body, b""
        try:
            await self._stream.send_all(data)
            if body:
                await self._stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._may_hide_reset = resets.may_hide_reset(error)
            raise BrokenAnswerError(
                f"sending the request failed: {error}"
            ) from error

    async def read_head(self) -> tuple[int, calls.Headers]:
        """Return the status and headers of the response.

        Raises:
            BrokenAnswerError: The connection ended before the response head,
                or the bytes are not HTTP.
        """
        while True:
            match await self._parse_event():
                case h11.Response(status_code=status, headers=headers):
                    if status > http.MAX_STATUS:
                        raise BrokenAnswerError(f"status {status} is invalid")
                    self.has_response_head = True
                    self.note_progress()
                    self._length = _find_length(headers)
                    self._is_success = status < _MIN_FAILURE_STATUS
                    return status, list(headers)
                case h11.InformationalResponse():
                    continue
                case h11.NEED_DATA:
                    await self._receive()
                case _:
                    raise BrokenAnswerError("closed without an answer")

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield pieces of the body as they arrive.

        Raises:
            BrokenAnswerError: The body ended early, or its framing is larger
                than it may be.
        """
        piece = bytearray()
        while True:
            try:
                event = await self._parse_event()
            except BrokenAnswerError:
                if piece:
                    yield bytes(piece)
                raise
            match event:
                case h11.Data(data=data):
                    piece += data
                    self._body_bytes += len(data)
                    continue
                case _ if piece:
                    yield bytes(piece)
                    piece.clear()
            match event:
                case h11.NEED_DATA:
                    await self._receive()
                case h11.EndOfMessage():
                    return
                case _:
                    raise BrokenAnswerError("closed before the end of the body")

    async def read_body(
        self, note_held: Callable[[int], None] = _ignore_size
    ) -> bytes:
        """Return the whole body.

        Args:
            note_held: Called with the bytes that are held so far.

        Raises:
            BrokenAnswerError: The body ended early, or has more than
                `MAX_ANSWER_BYTES`.
        """
        if self._length > MAX_ANSWER_BYTES:
            raise _create_oversized_error()
        body = bytearray()
        async for piece in self.iterate_body():
            body += piece
            note_held(len(body))
            # Another runner may do better than a failure that is slow to come.
            if self._is_success:
                self.note_progress()
            if len(body) > MAX_ANSWER_BYTES:
                raise _create_oversized_error()
        return bytes(body)

    def note_progress(self) -> None:
        """Record that the answer is a step further."""
        self.last_progress_at = self.last_activity_at

    def stop_reading(self) -> None:
        """Make the body end after the bytes that have arrived."""
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_RD)

    async def close(self) -> None:
        """Reset the connection, so that the runner stops unfinished work."""
        await trio.aclose_forcefully(self._stream)

    async def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        self._parts += 1
        if self._parts % _PARTS_PER_STEP == 0:
            await trio.lowlevel.checkpoint()
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BrokenAnswerError(f"no HTTP answer: {error}") from error

    async def _receive(self) -> None:
        """Receive bytes and pass them to the parser.

        Raises:
            BrokenAnswerError: The connection was reset, too many bytes are no
                body, or a head is malformed.
        """
        framing_bytes = self._received_bytes - self._body_bytes
        if framing_bytes > _MAX_FRAMING_BYTES + self._body_bytes:
            raise BrokenAnswerError(
                f"{framing_bytes} bytes frame {self._body_bytes} of the body"
            )
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            self.has_peer_closed = isinstance(
                error.__cause__, ConnectionResetError
            )
            # Not passed on to h11 as the end of the stream: that would
            # complete a response without a content length.
            raise BrokenAnswerError(f"reset: {error}") from error
        self._received_bytes += len(data)
        self.last_activity_at = trio.current_time()
        self.has_peer_closed = not data
        if self.has_peer_closed and self._may_hide_reset:
            raise BrokenAnswerError("reset while the request was sent")
        try:
            self._head_lines.add(data)
        except head_lines.MalformedHeadError as error:
            raise BrokenAnswerError(f"no HTTP answer: {error}") from error
        self._http.receive_data(data)


def _find_length(headers: calls.Headers) -> int:
    for name, value in headers:
        if name == b"content-length":
            # The parser has checked that it is a number.
            return int(value)
    return 0


def _create_oversized_error() -> BrokenAnswerError:
    return BrokenAnswerError(f"the body has more than {MAX_ANSWER_BYTES} bytes")


async def open_stream(
    address: str, timeout_s: float, max_use_s: float
) -> OpenedStream:
    """Open a direct stream; implements `StreamOpener`.

    Args:
        address: Host and port.
        timeout_s: Timeout for connecting.
        max_use_s: Longest time for which the stream is used. A short one does
            without TCP keep-alive, which would not probe in that time.

    Raises:
        NotConnectedError: The connection was not opened within `timeout_s`.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        if max_use_s > _KEEPALIVE.unacknowledged_s:
            keepalive.enable_keepalive(sock, _KEEPALIVE)
        with trio.fail_after(timeout_s):
            await sock.connect((host, int(port)))
    except (
        OSError,
        trio.TooSlowError,
        # An address that cannot be looked up, or a port out of range.
        ValueError,
        OverflowError,
    ) as error:
        sock.close()
        reason = str(error) or f"not connected within {timeout_s:.3f} s"
        is_refused = isinstance(error, ConnectionRefusedError)
        raise NotConnectedError(reason, is_refused=is_refused) from error
    except BaseException:
        sock.close()
        raise
    return OpenedStream(trio.SocketStream(sock), open_stream)


@contextlib.asynccontextmanager
async def connect_runner(
    address: str,
    timeout_s: float,
    *,
    max_use_s: float = 0.0,
    opener: StreamOpener = open_stream,
) -> AsyncIterator[RunnerConnection]:
    """Open a connection to a runner; leaving the context closes it.

    Args:
        address: Host and port.
        timeout_s: Timeout for connecting.
        max_use_s: Longest time for which the connection is used.
        opener: Opens the stream.

    Raises:
        NotConnectedError: The connection was not opened in time.
    """
    opened = await opener(address, timeout_s, max_use_s)
    connection = RunnerConnection(opened)
    try:
        yield connection
    finally:
        await connection.close()
