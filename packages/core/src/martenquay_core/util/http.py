"""HTTP client on httpcore that returns failures as values."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING, TypeVar

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from martenquay_core.util import guarded_network, keepalive, pools

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_STATUS",
    "Answer",
    "CallFailure",
    "HttpClient",
    "LineSplitter",
    "StreamedAnswer",
    "decode_json",
    "open_client",
]

# Without it, small writes wait for the peer's delayed ACK (up to 40 ms).
_SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]
# Makes close() reset the connection and drop unsent data. Otherwise the kernel
# would deliver a request after a network partition, long after the call has
# timed out.
_RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
# Finds dead connections that are idle or in a long poll within 3 s.
_KEEPALIVE = keepalive.KeepAlive(idle_s=1, probes=2)
_DEFAULT_TIMEOUT_S = 10.0
# Body of an answer. The pages bound what the platform's store sends at once by
# 1 MB, which base64 and JSON make larger, and an append by 2 MB (`CallBytes`).
# Several calls are in progress at a time.
MAX_BODY_BYTES = 4_194_304
# One line of a streamed body: an event with a few tokens, as in a stream of
# server-sent events.
_MAX_LINE_BYTES = 1_048_576
# Pieces of a body that are taken without a checkpoint: about 5 ms.
_PIECES_PER_STEP = 256
# Statuses above it are invalid (RFC 9110, section 15); the parser refuses those
# below 100 and takes all of three digits besides.
MAX_STATUS = 599
_MAX_CONNECTIONS = 1000
_IDLE_EXPIRY_S = 4.0

Content = TypeVar("Content")
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Header names, in lower case, and values.
        body: The complete body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class CallFailure:
    """Why a call has no usable response.

    Attributes:
        sent: False only if no byte of the request was sent, so that the
            server cannot have run it.
        message: Description of the failure.
        is_silent: Nothing was received, not even a connection reset.
        is_oversized: The body has more than `MAX_BODY_BYTES`, perhaps without
            an end.
    """

    sent: bool
    message: str
    is_silent: bool = False
    is_oversized: bool = False


class _OversizedBodyError(Exception):
    """A body has more than `MAX_BODY_BYTES`."""


class LineSplitter:
    """Buffers bytes until they form complete lines, in linear time.

    Attributes:
        rest: Bytes of the line that is still incomplete.
    """

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the non-empty lines that they complete.

        Raises:
            httpcore.RemoteProtocolError: A line has more than 1 MiB.
        """
        first, *others = data.split(b"\n")
        self.rest += first
        lines: list[bytes] = []
        for other in others:
            self._check_size()
            if self.rest:
                lines.append(bytes(self.rest))
            self.rest = bytearray(other)
        self._check_size()
        return lines

    def _check_size(self) -> None:
        if len(self.rest) > _MAX_LINE_BYTES:
            raise httpcore.RemoteProtocolError(
                f"a line has more than {_MAX_LINE_BYTES} bytes"
            )


class StreamedAnswer:
    """A response whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Header names, in lower case, and values.
    """

    def __init__(self, response: httpcore.Response) -> None:
        self.status = response.status
        self.headers = _lower_names(response.headers)
        self._response = response

    async def iterate_lines(self) -> AsyncIterator[bytes]:
        """Yield each non-empty line of the body without its line feed.

        Raises:
            httpcore.NetworkError: The connection broke.
            httpcore.ProtocolError: The body is incomplete, or a line is too
                long.
        """
        splitter = LineSplitter()
        async for piece in _iterate_pieces(self._response):
            for line in splitter.feed(piece):
                yield line
        if splitter.rest:
            yield bytes(splitter.rest)


class HttpClient:
    """Calls HTTP servers with one timeout for each whole call.

    After a call that timed out, later calls use new connections.
    """

    def __init__(self, pool_manager: pools.PoolManager) -> None:
        self._pools = pool_manager

    async def call(
        self,
        method: str,
        url: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = _DEFAULT_TIMEOUT_S,
        is_cancellable: bool = False,
    ) -> Result[Answer, CallFailure]:
        """Send one request and read the whole response; never retries.

        Args:
            method: HTTP method.
            url: URL to call.
            headers: Request headers.
            body: Request body.
            timeout_s: Timeout of the whole call.
            is_cancellable: `cancel_stale_calls` may cancel the call; only for
                requests that may be repeated.
        """
        async with self._pools.use() as generation:
            try:
                with generation.limit(timeout_s, is_cancellable=is_cancellable):
                    async with generation.pool.stream(
                        method,
                        url,
                        headers=headers or [],
                        content=body,
                        extensions=_create_timeouts(timeout_s),
                    ) as response:
                        _check_status(response)
                        return Ok(await _read_answer(response))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                return Error(CallFailure(sent=False, message=_describe(error)))
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                return Error(CallFailure(sent=True, message=_describe(error)))
            except _OversizedBodyError as error:
                return Error(
                    CallFailure(
                        sent=True, message=str(error), is_oversized=True
                    )
                )
            self._pools.replace(generation)
        message = f"no answer in {timeout_s:.3f} s or before it was cut"
        return Error(CallFailure(sent=True, message=message, is_silent=True))

    def cancel_stale_calls(self) -> None:
        """Cancel the cancellable calls on replaced connections.

        To be called once a new connection has shown that the server works.
        """
        self._pools.cancel_older_calls()

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        connect_timeout_s: float = 1.0,
        read_timeout_s: float = _DEFAULT_TIMEOUT_S,
    ) -> AsyncIterator[StreamedAnswer]:
        """Send a request and stream its response; the context closes it.

        Raises:
            httpcore.ConnectError: Nothing was sent.
            httpcore.NetworkError: The connection broke.
            httpcore.ProtocolError: The head is not valid.
            httpcore.TimeoutException: No data arrived for `read_timeout_s`.
        """
        limits = {"connect": connect_timeout_s, "read": read_timeout_s}
        async with (
            self._pools.use() as generation,
            generation.pool.stream(
                method,
                url,
                headers=headers or [],
                content=body,
                extensions={"timeout": limits},
            ) as response,
        ):
            _check_status(response)
            yield StreamedAnswer(response)


def decode_json(
    answer: Result[Answer, CallFailure], content_type: type[Content]
) -> Result[Content, CallFailure]:
    """Decode the JSON body of a response with status 200.

    A body that cannot be decoded is a failure like a lost response: the
    server may have acted on the request.
    """
    match answer:
        case Result(tag="ok", ok=Answer(status=200, body=body)):
            return _decode_body(body, content_type)
        case Result(tag="ok", ok=other):
            message = f"status {other.status}"
            return Error(CallFailure(sent=True, message=message))
        case _:
            return Error(answer.error)


@contextlib.asynccontextmanager
async def open_client(
    *, reuse: bool = True, resets: bool = False
) -> AsyncIterator[HttpClient]:
    """Open a client.

    Args:
        reuse: Keep connections alive for later calls. A connection that the
            server has closed meanwhile looks like a lost response, so calls
            that must not be repeated need new connections.
        resets: Reset connections on close, so that a request that timed out
            is never delivered later.
    """
    options = [*_SOCKET_OPTIONS, *keepalive.list_options(_KEEPALIVE)]
    if resets:
        options.append(_RESET_ON_CLOSE)

    def create_pool() -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS if reuse else 0,
            keepalive_expiry=_IDLE_EXPIRY_S,
            socket_options=options,
            network_backend=guarded_network.GuardedBackend(),
        )

    pool_manager = pools.PoolManager(create_pool)
    try:
        yield HttpClient(pool_manager)
    finally:
        await pool_manager.close()


def _check_status(response: httpcore.Response) -> None:
    if response.status > MAX_STATUS:
        raise httpcore.RemoteProtocolError(
            f"status {response.status} is invalid"
        )


async def _read_answer(response: httpcore.Response) -> Answer:
    """Read the body.

    Raises:
        _OversizedBodyError: It has more than `MAX_BODY_BYTES`.
    """
    body = bytearray()
    async for piece in _iterate_pieces(response):
        body += piece
        if len(body) > MAX_BODY_BYTES:
            raise _OversizedBodyError(
                f"the answer has more than {MAX_BODY_BYTES} bytes"
            )
    return Answer(response.status, _lower_names(response.headers), bytes(body))


async def _iterate_pieces(response: httpcore.Response) -> AsyncIterator[bytes]:
    count = 0
    async for piece in response.aiter_stream():
        count += 1
        if count % _PIECES_PER_STEP == 0:
            await trio.lowlevel.checkpoint()
        yield piece


def _decode_body(
    body: bytes, content_type: type[Content]
) -> Result[Content, CallFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=content_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        # Any content of a response must become a failure, not an exception.
        message = f"malformed answer: {_describe(error)}"
        return Error(CallFailure(sent=True, message=message))


def _create_timeouts(timeout_s: float) -> dict[str, dict[str, float]]:
    return {"timeout": {"connect": min(timeout_s, 2.0)}}


def _lower_names(headers: Headers) -> Headers:
    return [(name.lower(), value) for name, value in headers]


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
