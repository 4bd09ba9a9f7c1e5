"""HTTP/1.1 server side of one caller's keep-alive connection.

It uses h11 directly, since hypercorn fixes its limits at startup and hides
the connection. Here the limits follow the catalog, a truncated answer must
look truncated, and a graceful stop closes connections between requests only.
"""

from __future__ import annotations

import dataclasses
import functools
import socket
import struct
import traceback
from typing import TYPE_CHECKING, Protocol

import h11
import trio

from martenquay_core import logs, results
from martenquay_daemon.forwarding import (
    answers,
    caller_input,
    disconnects,
    rejections,
)

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog, ports
    from martenquay_daemon.limits import caller_budget

__all__ = ["CallHandler", "CallerConnection", "ListenerState"]

_LOG = logs.create_log("callers")
_RECEIVE_BYTES = 16_384
# For a body without a deadline of its caller; beyond the time for which any
# route holds a request.
_MAX_BODY_S = 300.0
# After the last answer unread bytes are discarded for this long: closing with
# unread bytes sends a reset, and the caller would lose what it has not received
# of the answer.
_LINGER_TIMEOUT_S = 1.0
# A caller has to accept each chunk of an answer within the timeout. TCP
# keep-alive doesn't find one that reads a few bytes now and then.
_SEND_CHUNK_BYTES = 65_536
_SEND_TIMEOUT_S = 5.0
# A caller that has not read for this long counts as one to wait for: each send
# takes a moment.
_MIN_SEND_WAIT_S = 0.5
# A stop keeps reading idle connections for this long, since a request may be
# in transit; assumed to be far longer than a round trip within a region. With
# the listener's wait it stays below the 0.3 s by which this may delay a stop.
_FINAL_READ_S = 0.2
# Callers of earlier versions get no chunks; a close ends the answer.
_FIRST_VERSION_WITH_CHUNKS = b"1.1"
# The ": " and line end of a header, which h11 strips.
_HEADER_LINE_OVERHEAD_BYTES = 4


class CallHandler(Protocol):
    """Answers requests whose body has been read."""

    def reject_early(self, call: calls.Call) -> answers.OwnAnswer | None:
        """Return the answer to a request whose long body need not be read.

        Args:
            call: The request, still without its body.
        """

    async def handle(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> None:
        """Answer one request.

        Args:
            call: The request with its whole body.
            received_at: When its first byte arrived, on trio's clock.
            writer: Writes the answer to the caller.
        """


class ListenerState(Protocol):
    """State that all connections of a listener share.

    Attributes:
        is_closing: Each connection closes after its next answer.
        is_stopped: Idle connections close as well.
        budget: Bounds what all connections hold.
        parsing_turn: Held while a large piece of a chunked body is parsed.
    """

    is_closing: bool
    is_stopped: bool
    budget: caller_budget.CallerBudget
    parsing_turn: trio.Lock

    def find_limits(self) -> catalog.CallerLimits:
        """Return the limits in force."""


class _AnswerWriter:
    """Writes the answer to one request to the caller's connection.

    Attributes:
        has_started: The response head has been passed to the connection.
        is_aborted: The connection must close without completing the answer.
    """

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
        """Send the response head."""
        self.has_started = True
        await self._connection.send_head(status, headers, length)

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if data:
            await self._connection.send_event(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the body as complete."""
        await self._connection.send_event(h11.EndOfMessage())
        self._connection.allow_end_on_close()

    def abort(self) -> None:
        """Have the connection closed, so that the answer looks truncated."""
        self.is_aborted = True


class CallerConnection:
    """One keep-alive connection of a caller.

    Attributes:
        is_idle: No request is being read or answered.
        call_id: Id of the current request; empty until its head has been
            read.
        received_at: When its first byte arrived, on trio's clock.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: ports.CallCodec,
        handler: CallHandler,
        listener_state: ListenerState,
    ) -> None:
        self.is_idle = True
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._listener_state = listener_state
        self._limits = listener_state.find_limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._input = caller_input.CallerInput(
            stream,
            self._http,
            listener_state.budget,
            listener_state.parsing_turn,
        )
        self._has_partial_write = False
        self._resets_on_close = False
        self.received_at = 0.0
        self.call_id = ""
        self._waits_since: float | None = trio.current_time()
        self._sends_since: float | None = None
        self._has_served = False
        self._is_unwanted = False
        self._idle_scope: trio.CancelScope | None = None
        self._send_scope: trio.CancelScope | None = None
        self._linger_scope: trio.CancelScope | None = None

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return disconnects.has_disconnected(self._stream.socket)

    @property
    def waits_since(self) -> float | None:
        """When it began to wait for its caller, who sends or reads nothing.

        None while a request is being answered.
        """
        if self._sends_since is None:
            return self._waits_since
        waited_s = trio.current_time() - self._sends_since
        return self._sends_since if waited_s >= _MIN_SEND_WAIT_S else None

    @property
    def is_resting(self) -> bool:
        """Whether it has served requests and waits for the next one."""
        return self._has_served and self.is_idle

    async def serve(self) -> None:
        """Serve requests until either side closes."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except rejections.CallerDisconnectedError:
            disconnects.log_disconnect(
                self.call_id, disconnects.Stage.READING, self.received_at
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller disconnected during a rejection or `100 Continue`;
            # while an answer is sent, `_handle_call` catches these errors.
            return
        finally:
            self._input.drop()
            await trio.aclose_forcefully(self._stream)

    def close_if_idle(self) -> None:
        """Close the connection unless a request starts within a moment."""
        if self.is_idle and self._idle_scope is not None:
            self._shorten_idle_wait(self._idle_scope)

    def refuse_unfinished(self, answer: answers.OwnAnswer) -> None:
        """Refuse the request that is being read, if there is one."""
        if self._input.is_reading:
            self._input.refuse(answer)

    def close_early(self) -> None:
        """Close the connection, which waits for its caller, for lack of room.

        A request that is being read is refused.
        """
        self._is_unwanted = True
        if not self.is_idle:
            self._input.refuse()
        for scope in (self._idle_scope, self._send_scope, self._linger_scope):
            if scope is not None:
                scope.cancel()

    async def send_head(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        """Send a response head.

        Args:
            status: The HTTP status.
            headers: Headers other than those that frame the body.
            length: Size of the body in bytes; None for a chunked body.
        """
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        # The caller sent further bytes without knowing that the connection will
        # close.
        if self._listener_state.is_closing and not self._input.has_request():
            headers.append((b"connection", b"close"))
        version = self._http.their_http_version
        if length is None and version < _FIRST_VERSION_WITH_CHUNKS:
            # A close before the end would look like the end.
            self._set_reset_on_close(is_on=True)
        await self.send_event(
            h11.Response(status_code=status, headers=headers, reason=b"")
        )

    def allow_end_on_close(self) -> None:
        """Let a close end the bytes that were sent, as an answer is whole."""
        if self._resets_on_close:
            self._set_reset_on_close(is_on=False)

    def _set_reset_on_close(self, *, is_on: bool) -> None:
        """Set whether closing resets, also when the process ends."""
        self._resets_on_close = is_on
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, 0)
        )

    def receive_bytes(self, data: bytes) -> h11.Event | type[h11.NEED_DATA]:
        """Feed bytes from the caller to the parser and return its event."""
        self._http.receive_data(data)
        return self._http.next_event()

    async def send_event(self, event: h11.Event) -> None:
        """Send one h11 event of an answer.

        Raises:
            trio.BrokenResourceError: The caller disconnected or stopped
                reading, or an earlier event was sent only in part.
        """
        if self._has_partial_write:
            raise trio.BrokenResourceError(
                "an earlier chunk was sent only in part"
            )
        data = self._http.send(event)
        if data:
            # Stays set if the send is cancelled: later bytes would then follow
            # half a chunk and corrupt the answer.
            self._has_partial_write = True
            await self._send_with_timeout(data)
            self._has_partial_write = False

    async def _send_with_timeout(self, data: bytes) -> None:
        view = memoryview(data)
        self._sends_since = began_at = trio.current_time()
        for offset in range(0, len(data), _SEND_CHUNK_BYTES):
            with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
                self._send_scope = scope
                await self._stream.send_all(
                    view[offset : offset + _SEND_CHUNK_BYTES]
                )
            if scope.cancelled_caught:
                _LOG.write(
                    "Closing a connection: its caller stopped reading.",
                    waited_s=round(trio.current_time() - began_at, 3),
                )
                raise trio.BrokenResourceError("the caller stopped reading")
        self._send_scope = None
        self._sends_since = None

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        self._limits = self._listener_state.find_limits()
        self.is_idle = True
        self.call_id = ""
        if self._has_served:
            self._waits_since = trio.current_time()
        try:
            call = await self._read_call()
        except rejections.RequestRejectedError as rejected:
            answer = rejected.answer
        else:
            return call is not None and await self._answer_call(call)
        # Behind the handler: the error's traceback refers to the request.
        self._input.drop()
        await self._reject(answer)
        return False

    async def _answer_call(self, call: calls.Call) -> bool:
        """Answer a request; return whether another may follow."""
        self._waits_since = None
        writer = await self._handle_call(call)
        self._has_served = True
        if writer.is_aborted or not writer.has_started:
            return False
        if h11.DONE is self._http.our_state is self._http.their_state:
            self._input.end_request()
            return True
        self._input.drop()
        await self._end_sending()
        return False

    async def _end_sending(self) -> None:
        """End the sending side and discard what the caller still sends."""
        # The caller has its answer: a stop's notice need not wait for it.
        self.is_idle = True
        if self._is_unwanted:
            return
        self._waits_since = trio.current_time()
        with trio.move_on_after(_LINGER_TIMEOUT_S) as self._linger_scope:
            await self._stream.send_eof()
            while await self._stream.receive_some(_RECEIVE_BYTES):
                pass

    async def _handle_call(self, call: calls.Call) -> _AnswerWriter:
        """Run the handler, and cancel it if the caller disconnects."""
        writer = _AnswerWriter(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
            try:
                await self._handler.handle(call, self.received_at, writer)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # Sending to the caller failed; the handler raises these for
                # nothing else.
                writer.abort()
            except Exception as error:  # noqa: BLE001
                # Otherwise the caller would see a reset without an answer.
                trace_lines = traceback.format_exception(error)
                _LOG.write(
                    f"Unexpected error in the handler of a request: {error!r}.",
                    request=call.id,
                    trace="".join(trace_lines),
                )
                await self._answer_handler_error(call, writer)
            nursery.cancel_scope.cancel()
        return writer

    async def _answer_handler_error(
        self, call: calls.Call, writer: _AnswerWriter
    ) -> None:
        """Answer that the request may have run, or truncate the answer."""
        if writer.has_started:
            writer.abort()
            return
        code = results.ResultCode.UNKNOWN_ANSWER_LOST
        answer = answers.create_own_answer(code, "the answer was lost here")
        try:
            await answers.send_own_answer(writer, self._codec, call.id, answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            writer.abort()

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        if not await self._input.receive_ahead():
            scope.cancel()
            return
        # Bytes beyond the limit stay unread, and the end of the stream is
        # behind them, so the kernel has to be asked for it.
        await disconnects.wait_until_disconnected(self._stream.socket)
        scope.cancel()

    async def _read_call(self) -> calls.Call | None:
        """Read a whole request; None if the connection ends before it."""
        head = await self._read_head()
        if head is None:
            return None
        headers = [(bytes(n).lower(), bytes(v)) for n, v in head.headers]
        method = head.method.decode("latin-1")
        target = head.target.decode("latin-1")
        self._check_size_limits(target, headers)
        call = self._codec.decode_call(method, target, headers)
        self.call_id = call.id
        # An answer after the caller's deadline would be of no use to it.
        deadline = self.received_at + (call.budget_s or _MAX_BODY_S)
        if self._http.they_are_waiting_for_100_continue:
            await self.send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = await self._input.read_body(
            headers,
            self._limits,
            deadline,
            functools.partial(self._handler.reject_early, call),
        )
        return dataclasses.replace(call, body=body)

    async def _read_head(self) -> h11.Request | None:
        if not await self._wait_for_first_bytes():
            return None
        self.is_idle = False
        self._input.begin_request(self.received_at)
        with trio.move_on_after(self._limits.header_s):
            while True:
                match self._input.parse_head():
                    case h11.Request() as head:
                        return head
                    case h11.ConnectionClosed():
                        return None
                if not await self._input.receive():
                    raise rejections.CallerDisconnectedError
        code = results.ResultCode.SLOW_CALLER
        message = "the request's head did not arrive in time"
        raise rejections.RequestRejectedError(
            answers.create_own_answer(code, message)
        )

    async def _wait_for_first_bytes(self) -> bool:
        """Wait for a request to start; False after the idle timeout."""
        if self._input.has_bytes():
            self.received_at = trio.current_time()
            return True
        with trio.move_on_after(self._limits.idle_s) as scope:
            self._idle_scope = scope
            if self._listener_state.is_stopped:
                self._shorten_idle_wait(scope)
            await self._input.receive()
            self.received_at = trio.current_time()
        self._idle_scope = None
        return self._input.has_bytes()

    def _shorten_idle_wait(self, scope: trio.CancelScope) -> None:
        # Cancelling at once would leave bytes unread that the kernel has
        # received, and closing would reset the connection on their sender.
        final_read_at = trio.current_time() + _FINAL_READ_S
        scope.deadline = min(scope.deadline, final_read_at)

    def _check_size_limits(self, target: str, headers: calls.Headers) -> None:
        size = len(target) + sum(
            len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES
            for name, value in headers
        )
        code = results.ResultCode.MALFORMED_REQUEST
        if size > self._limits.header_bytes:
            answer = answers.create_own_answer(
                code, "the request's head is too large", status=431
            )
            raise rejections.RequestRejectedError(answer)
        length = dict(headers).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            raise rejections.RequestRejectedError(
                rejections.create_body_too_large(self._limits.body_bytes)
            )

    async def _reject(self, answer: answers.OwnAnswer) -> None:
        """Answer a request that was not read completely, then close."""
        _LOG.write(
            f"Rejected an incomplete request: {answer.message}.",
            status=answer.status,
            code=int(answer.code),
        )
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        await answers.send_own_answer(
            _AnswerWriter(self), self._codec, self.call_id, answer
        )
        await self._end_sending()
