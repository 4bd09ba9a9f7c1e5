"""Call HTTP servers through httpcore and type what can go wrong."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING, TypeVar

import httpcore
import msgspec
from expression import Error, Ok, Result

from martenquay_core.util import keepalive, pools

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = [
    "Answer",
    "CallFailure",
    "HttpClient",
    "StreamedAnswer",
    "decode_json",
    "open_client",
]

# Without it, small writes wait up to 40 ms for the peer's delayed ACK.
_SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]
# Closing then resets the connection. What a cut holds up on it is dropped;
# otherwise the kernel would deliver it when the cut heals, long after the
# caller has given the call up.
_RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
# For connections on which nothing is under way or a call waits long, both
# silent by nature: gone after 3 s. Calls have limits of their own.
_KEEPALIVE = keepalive.KeepAlive(idle_s=1, asks=2)
_DEFAULT_TIMEOUT_S = 10.0
_MAX_CONNECTIONS = 1000
_IDLE_EXPIRY_S = 4.0

Content = TypeVar("Content")
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole HTTP answer.

    Attributes:
        status: The HTTP status.
        headers: Header names, in lower case, and values.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class CallFailure:
    """Why no answer came.

    Attributes:
        sent: False only if no byte of the request left this process, so
            that the other side certainly did not run it.
        message: What the library said.
        is_silent: Nothing came, not even a reset.
    """

    sent: bool
    message: str
    is_silent: bool = False


class StreamedAnswer:
    """An answer whose body is read in pieces as they come.

    Attributes:
        status: The HTTP status.
        headers: Header names, in lower case, and values.
    """

    def __init__(self, response: httpcore.Response) -> None:
        self.status = response.status
        self.headers = _lower_names(response.headers)
        self._response = response

    async def iterate_lines(self) -> AsyncIterator[bytes]:
        """Yield each line of the body without its end.

        Raises:
            httpcore.NetworkError: The connection broke.
            httpcore.ProtocolError: The body ended early.
        """
        incomplete = b""
        async for piece in self._response.aiter_stream():
            *lines, incomplete = (incomplete + piece).split(b"\n")
            for line in lines:
                if line:
                    yield line
        if incomplete:
            yield incomplete


class HttpClient:
    """Call HTTP servers; each call has one time limit for all of it.

    After a call without an answer, later ones get new connections.
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
        may_be_cut: bool = False,
    ) -> Result[Answer, CallFailure]:
        """Send one request and read the whole answer; never sends twice.

        Args:
            method: The HTTP method.
            url: Where to.
            headers: The request's headers.
            body: The request's body.
            timeout_s: The time for all of it.
            may_be_cut: `cut_silent` may end it; for what may be repeated.
        """
        async with self._pools.use() as generation:
            try:
                with generation.limit(timeout_s, may_be_cut=may_be_cut):
                    response = await generation.pool.request(
                        method,
                        url,
                        headers=headers or [],
                        content=body,
                        extensions=_create_timeouts(timeout_s),
                    )
                    names = _lower_names(response.headers)
                    return Ok(Answer(response.status, names, response.content))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                return Error(CallFailure(sent=False, message=_describe(error)))
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                return Error(CallFailure(sent=True, message=_describe(error)))
            self._pools.replace(generation)
        message = f"no answer in {timeout_s:.3f} s or before it was cut"
        return Error(CallFailure(sent=True, message=message, is_silent=True))

    def cut_silent(self) -> None:
        """End calls that may be cut and run on connections in doubt.

        For when a new connection has shown that the other side is well.
        """
        self._pools.cut_older()

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
        """Open a streamed call; leaving the context closes it.

        Raises:
            httpcore.ConnectError: Nothing was sent.
            httpcore.NetworkError: The connection broke.
            httpcore.TimeoutException: Nothing came for `read_timeout_s`.
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
            yield StreamedAnswer(response)


def decode_json(
    answer: Result[Answer, CallFailure], content_type: type[Content]
) -> Result[Content, CallFailure]:
    """Return the typed content of a good answer.

    One that cannot be decoded is a failure like a lost answer: the call was
    sent, and the other side may have acted on it.
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
        reuse: Keep connections for later calls. One that the server closed
            meanwhile looks like a lost answer, so calls that may not be
            repeated need fresh ones.
        resets: Close connections by resetting them, so that a call that was
            given up is never delivered later.
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
        )

    pool_manager = pools.PoolManager(create_pool)
    try:
        yield HttpClient(pool_manager)
    finally:
        await pool_manager.close()


def _decode_body(
    body: bytes, content_type: type[Content]
) -> Result[Content, CallFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=content_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        # What another program answers must not end this one.
        message = f"malformed answer: {_describe(error)}"
        return Error(CallFailure(sent=True, message=message))


def _create_timeouts(timeout_s: float) -> dict[str, dict[str, float]]:
    return {"timeout": {"connect": min(timeout_s, 2.0)}}


def _lower_names(headers: Headers) -> Headers:
    return [(name.lower(), value) for name, value in headers]


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
