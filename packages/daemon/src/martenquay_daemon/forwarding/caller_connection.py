"""Serve one caller's connection, request after request.

hypercorn takes its limits once at the start and keeps the connection to
itself; here limits change with the catalog, an answer may have to break off
visibly, and a stop may close a connection only between requests. So h11, on
which hypercorn rests, is used directly.
"""

from __future__ import annotations

import dataclasses
import traceback
from typing import TYPE_CHECKING, Protocol

import h11
import trio

from martenquay_core import logs, results
from martenquay_daemon.forwarding import answers, disconnects

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog, ports

__all__ = ["CallHandler", "CallerConnection", "ConnectionRules"]

_LOG = logs.create_log("callers")
_RECEIVE_BYTES = 65_536
# What a caller may send ahead while its request is still being answered.
_AHEAD_BYTES = 65_536
# For this long unread bytes are thrown away after a refusal, so that closing
# does not reset the connection before the caller has read it.
_LINGER_S = 1.0
# A caller has to take a piece of an answer in this time. One that takes a few
# bytes now and then is live to the kernel, and would hold its answer for ever.
_PIECE_BYTES = 65_536
_PIECE_S = 5.0
# A request may be on its way, or unread, when a stop comes to a resting
# connection. An assumption: far above a way in one region, and with the
# listener's wait below the 0.3 s that a stop may take longer for it.
_LAST_LOOK_S = 0.2
# A head line and the separators that h11 takes apart.
_LINE_OVERHEAD = 4


class CallHandler(Protocol):
    """Answers whole requests."""

    async def handle(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> None:
        """Answer one request."""


class ConnectionRules(Protocol):
    """What binds all caller connections.

    Attributes:
        is_closing: Connections end after their next answer.
        is_stopped: Connections end as soon as they rest.
    """

    is_closing: bool
    is_stopped: bool

    def find_limits(self) -> catalog.CallerLimits:
        """Return the limits in force."""


@dataclasses.dataclass
class _RefusedError(Exception):
    """The request cannot be taken."""

    answer: answers.OwnAnswer


class _CallerGoneError(Exception):
    """The caller closed the connection."""


class _Writer:
    """Write one answer to the connection."""

    def __init__(self, connection: CallerConnection) -> None:
        self.has_started = False
        self.is_aborted = False
        self._connection = connection

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._connection.has_disconnected

    async def start(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        """Send the head."""
        self.has_started = True
        await self._connection.send_head(status, headers, length)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data:
            await self._connection.send_event(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._connection.send_event(h11.EndOfMessage())

    def abort(self) -> None:
        """Have the connection closed without the answer's end."""
        self.is_aborted = True


class CallerConnection:
    """One connection of a caller.

    Attributes:
        is_idle: No request has begun to come in and none is being answered.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: ports.CallCodec,
        handler: CallHandler,
        rules: ConnectionRules,
    ) -> None:
        self.is_idle = True
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._rules = rules
        self._limits = rules.find_limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._is_cut = False
        self._received_at = 0.0
        # The request that is being read, as far as its head has told.
        self._call_id = ""
        self._idle_scope: trio.CancelScope | None = None

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return disconnects.has_disconnected(self._stream.socket)

    async def serve(self) -> None:
        """Serve requests until either side closes."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except _CallerGoneError:
            disconnects.log_disconnect(
                self._call_id, disconnects.Stage.READING, self._received_at
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller left; what that means was decided where it matters.
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_if_idle(self) -> None:
        """Close soon if no request is under way or comes in just now."""
        if self.is_idle and self._idle_scope is not None:
            self._bound_rest(self._idle_scope)

    async def send_head(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        """Send an answer's head."""
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._rules.is_closing:
            headers.append((b"connection", b"close"))
        await self.send_event(
            h11.Response(status_code=status, headers=headers, reason=b"")
        )

    def take_bytes(self, data: bytes) -> h11.Event | type[h11.NEED_DATA]:
        """Take bytes that the caller has sent; return what they begin."""
        self._http.receive_data(data)
        return self._parse_event()

    async def send_event(self, event: h11.Event) -> None:
        """Send one event of an answer.

        An attempt at a runner may be given up while a piece of its answer is
        being sent. What the caller has then is half a piece, and nothing may
        follow it.

        Raises:
            trio.BrokenResourceError: The caller is gone or takes nothing, or
                an earlier piece was sent in part.
        """
        if self._is_cut:
            raise trio.BrokenResourceError("a piece was sent in part")
        data = self._http.send(event)
        if data:
            self._is_cut = True
            await self._send_in_time(data)
            self._is_cut = False

    async def _send_in_time(self, data: bytes) -> None:
        view = memoryview(data)
        for begin in range(0, len(data), _PIECE_BYTES):
            with trio.move_on_after(_PIECE_S) as scope:
                await self._stream.send_all(view[begin : begin + _PIECE_BYTES])
            if scope.cancelled_caught:
                _LOG.write("A caller takes nothing.", waited_s=_PIECE_S)
                raise trio.BrokenResourceError("the caller takes nothing")

    async def _serve_one(self) -> bool:
        """Serve one request; tell whether another may follow."""
        self._limits = self._rules.find_limits()
        self.is_idle = True
        self._call_id = ""
        try:
            call = await self._read_call()
        except _RefusedError as refused:
            await self._refuse(refused.answer)
            return False
        if call is None:
            return False
        writer = await self._answer(call)
        if writer.is_aborted or not writer.has_started:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state is h11.DONE

    async def _answer(self, call: calls.Call) -> _Writer:
        """Have the call answered while watching whether the caller leaves."""
        writer = _Writer(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._handler.handle(call, self._received_at, writer)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # Only sending to the caller raises these here.
                writer.abort()
            except Exception as error:  # noqa: BLE001
                # The caller would see only a reset, with nothing to go by.
                where = traceback.format_exception(error)
                _LOG.write(
                    f"A request failed: {error!r}.",
                    request=call.id,
                    trace="".join(where),
                )
                await self._answer_fault(call, writer)
            nursery.cancel_scope.cancel()
        return writer

    async def _answer_fault(self, call: calls.Call, writer: _Writer) -> None:
        """Say that the request may have run, or break off what has begun."""
        if writer.has_started:
            writer.abort()
            return
        code = results.ResultCode.UNKNOWN_ANSWER_LOST
        answer = answers.create_own_answer(code, "the answer was lost here")
        try:
            await answers.send_own_answer(writer, self._codec, call.id, answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            writer.abort()

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        ahead = 0
        while ahead < _AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            ahead += len(data)
            self._http.receive_data(data)
        # The rest has to wait for its turn, and the close stands behind it.
        await disconnects.wait_until_disconnected(self._stream.socket)
        scope.cancel()

    async def _read_call(self) -> calls.Call | None:
        """Read a whole request; None if the connection ends before one."""
        head = await self._read_head()
        if head is None:
            return None
        headers = [(bytes(n).lower(), bytes(v)) for n, v in head.headers]
        method = head.method.decode("latin-1")
        target = head.target.decode("latin-1")
        self._check_head(target, headers)
        call = self._codec.decode_call(method, target, headers)
        self._call_id = call.id
        body = await self._read_body(headers)
        return dataclasses.replace(call, body=body)

    async def _read_head(self) -> h11.Request | None:
        event = self._parse_event()
        if event is h11.NEED_DATA:
            if not await self._wait_first_bytes():
                return None
        else:
            self._received_at = trio.current_time()
        self.is_idle = False
        with trio.move_on_after(self._limits.header_s):
            while True:
                event = self._parse_event() if event is h11.NEED_DATA else event
                match event:
                    case h11.Request():
                        return event
                    case h11.ConnectionClosed():
                        return None
                await self._receive()
                event = h11.NEED_DATA
        code = results.ResultCode.SLOW_CALLER
        message = "the request's head did not arrive in time"
        raise _RefusedError(answers.create_own_answer(code, message))

    async def _wait_first_bytes(self) -> bool:
        """Wait for a request to begin; False when the rest is over."""
        buffered, _ = self._http.trailing_data
        if buffered:
            self._received_at = trio.current_time()
            return True
        with trio.move_on_after(self._limits.idle_s) as scope:
            self._idle_scope = scope
            if self._rules.is_stopped:
                self._bound_rest(scope)
            await self._receive()
            self._received_at = trio.current_time()
        self._idle_scope = None
        return not scope.cancelled_caught

    def _bound_rest(self, scope: trio.CancelScope) -> None:
        # A cancelled read would leave unread what the kernel has already, and
        # the close would reset it.
        last = trio.current_time() + _LAST_LOOK_S
        scope.deadline = min(scope.deadline, last)

    def _check_head(self, target: str, headers: calls.Headers) -> None:
        size = len(target) + sum(
            len(name) + len(value) + _LINE_OVERHEAD for name, value in headers
        )
        code = results.ResultCode.MALFORMED_REQUEST
        if size > self._limits.header_bytes:
            answer = answers.create_own_answer(
                code, "the request's head is too large", status=431
            )
            raise _RefusedError(answer)
        length = dict(headers).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            raise _RefusedError(self._describe_large_body())

    async def _read_body(self, headers: calls.Headers) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            await self.send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        pieces: list[bytes] = []
        size = 0
        while True:
            event = self._parse_event()
            match event:
                case h11.EndOfMessage():
                    return b"".join(pieces)
                case h11.Data(data=data):
                    pieces.append(bytes(data))
                    size += len(data)
                case h11.ConnectionClosed():
                    raise _CallerGoneError
                case _:
                    await self._receive_in_time()
            if size > self._limits.body_bytes:
                raise _RefusedError(self._describe_large_body())

    async def _receive_in_time(self) -> None:
        with trio.move_on_after(self._limits.header_s) as scope:
            await self._receive()
        if scope.cancelled_caught:
            code = results.ResultCode.SLOW_CALLER
            message = "the request's body did not arrive in time"
            raise _RefusedError(answers.create_own_answer(code, message))

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if not data and not self.is_idle:
            raise _CallerGoneError
        self._http.receive_data(data)

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            answer = answers.create_own_answer(
                results.ResultCode.MALFORMED_REQUEST,
                f"the request is malformed: {error}",
                status=error.error_status_hint,
            )
            raise _RefusedError(answer) from error

    def _describe_large_body(self) -> answers.OwnAnswer:
        code = results.ResultCode.BODY_TOO_LARGE
        limit = self._limits.body_bytes
        message = f"the body has more than {limit} bytes"
        return answers.create_own_answer(code, message)

    async def _refuse(self, answer: answers.OwnAnswer) -> None:
        """Answer a request that was not read to its end, then close."""
        _LOG.write(
            f"Refused a request: {answer.message}.",
            status=answer.status,
            code=int(answer.code),
        )
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        await answers.send_own_answer(_Writer(self), self._codec, "", answer)
        with trio.move_on_after(_LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(_RECEIVE_BYTES):
                pass
