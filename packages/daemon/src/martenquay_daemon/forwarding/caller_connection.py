"""HTTP/1.1 server side of one caller's keep-alive connection.

It uses h11 directly, since hypercorn fixes its limits at startup and hides
the connection. Here the limits follow the catalog, a truncated answer must
look truncated, and a graceful stop closes connections between requests only.
"""

from __future__ import annotations

import dataclasses
import re
import traceback
from typing import TYPE_CHECKING, Protocol

import h11
import trio

from martenquay_core import logs, results
from martenquay_daemon.forwarding import answers, disconnects

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog, ports

__all__ = ["CallHandler", "CallerConnection", "ListenerState"]

_LOG = logs.create_log("callers")
_RECEIVE_BYTES = 16_384
# Bytes that frame a chunked body: a chunk of one byte has five others. Servers
# ought to limit chunk extensions (RFC 9112, 7.1.1).
_MAX_FRAMING_BYTES = 65_536
_MAX_FRAMING_PER_BODY_BYTE = 8
# Parts of a body that are parsed without a checkpoint: about 5 ms.
_PARTS_PER_STEP = 256
# For a body without a deadline of its caller; beyond the time for which any
# route holds a request.
_MAX_BODY_S = 300.0
# Bytes of further requests that are buffered while one is being answered;
# without a limit a caller could fill the daemon's memory.
_MAX_PIPELINED_BYTES = 65_536
# Ends a head, as h11 finds it.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# May become a blank line with the bytes that follow.
_PARTIAL_BLANK_LINE = re.compile(rb"\n\r?\Z")
# After the last answer unread bytes are discarded for this long: closing with
# unread bytes sends a reset, and the caller would lose what it has not received
# of the answer.
_LINGER_TIMEOUT_S = 1.0
# A caller has to accept each chunk of an answer within the timeout. TCP
# keep-alive doesn't find one that reads a few bytes now and then.
_SEND_CHUNK_BYTES = 65_536
_SEND_TIMEOUT_S = 5.0
# A stop keeps reading idle connections for this long, since a request may be
# in transit; assumed to be far longer than a round trip within a region. With
# the listener's wait it stays below the 0.3 s by which this may delay a stop.
_FINAL_READ_S = 0.2
# The ": " and line end of a header, which h11 strips.
_HEADER_LINE_OVERHEAD_BYTES = 4


class CallHandler(Protocol):
    """Answers requests whose body has been read."""

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
    """

    is_closing: bool
    is_stopped: bool

    def find_limits(self) -> catalog.CallerLimits:
        """Return the limits in force."""


@dataclasses.dataclass
class _RequestRejectedError(Exception):
    """The request is malformed, too large or too slow.

    Attributes:
        answer: The error response for the caller.
    """

    answer: answers.OwnAnswer


class _CallerDisconnectedError(Exception):
    """The caller closed its connection in the middle of a request."""


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
        # Received and not yet passed to the parser, which gets no more than
        # the current request: it would keep the rest, and has no bound on it.
        self._unparsed = bytearray()
        self._has_partial_write = False
        self.received_at = 0.0
        self.call_id = ""
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
        except _CallerDisconnectedError:
            disconnects.log_disconnect(
                self.call_id, disconnects.Stage.READING, self.received_at
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller disconnected during a rejection or `100 Continue`;
            # while an answer is sent, `_handle_call` catches these errors.
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_if_idle(self) -> None:
        """Close the connection unless a request starts within a moment."""
        if self.is_idle and self._idle_scope is not None:
            self._shorten_idle_wait(self._idle_scope)

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
        if self._listener_state.is_closing and not self._has_next_request():
            headers.append((b"connection", b"close"))
        await self.send_event(
            h11.Response(status_code=status, headers=headers, reason=b"")
        )

    def receive_bytes(self, data: bytes) -> h11.Event | type[h11.NEED_DATA]:
        """Feed bytes from the caller to the parser and return its event."""
        self._http.receive_data(data)
        return self._parse_event()

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
        for offset in range(0, len(data), _SEND_CHUNK_BYTES):
            with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
                await self._stream.send_all(
                    view[offset : offset + _SEND_CHUNK_BYTES]
                )
            if scope.cancelled_caught:
                _LOG.write(
                    "Closing a connection: its caller stopped reading.",
                    waited_s=_SEND_TIMEOUT_S,
                )
                raise trio.BrokenResourceError("the caller stopped reading")

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        self._limits = self._listener_state.find_limits()
        self.is_idle = True
        self.call_id = ""
        try:
            call = await self._read_call()
        except _RequestRejectedError as rejected:
            await self._reject(rejected.answer)
            return False
        if call is None:
            return False
        writer = await self._handle_call(call)
        if writer.is_aborted or not writer.has_started:
            return False
        if h11.DONE is self._http.our_state is self._http.their_state:
            return True
        await self._end_sending()
        return False

    def _has_next_request(self) -> bool:
        """Return whether bytes of a further request have been read.

        The caller sent them without knowing that the connection will close.
        """
        return bool(
            self._http.trailing_data[0].strip() + self._unparsed.strip()
        )

    async def _end_sending(self) -> None:
        """End the sending side and discard what the caller still sends."""
        # The caller has its answer: a stop's notice need not wait for it.
        self.is_idle = True
        with trio.move_on_after(_LINGER_TIMEOUT_S):
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
        while len(self._unparsed) < _MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            self._unparsed += data
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
        body = await self._read_body(headers, deadline)
        return dataclasses.replace(call, body=body)

    async def _read_head(self) -> h11.Request | None:
        if not await self._wait_for_first_bytes():
            return None
        self.is_idle = False
        with trio.move_on_after(self._limits.header_s):
            while True:
                match self._parse_head():
                    case h11.Request() as head:
                        return head
                    case h11.ConnectionClosed():
                        return None
                await self._receive()
        code = results.ResultCode.SLOW_CALLER
        message = "the request's head did not arrive in time"
        raise _RequestRejectedError(answers.create_own_answer(code, message))

    async def _wait_for_first_bytes(self) -> bool:
        """Wait for a request to start; False after the idle timeout."""
        if self._has_next_request():
            self.received_at = trio.current_time()
            return True
        with trio.move_on_after(self._limits.idle_s) as scope:
            self._idle_scope = scope
            if self._listener_state.is_stopped:
                self._shorten_idle_wait(scope)
            await self._receive()
            self.received_at = trio.current_time()
        self._idle_scope = None
        return bool(self._unparsed)

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
            raise _RequestRejectedError(answer)
        length = dict(headers).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            raise _RequestRejectedError(self._create_body_too_large())

    async def _read_body(
        self, headers: calls.Headers, deadline: float
    ) -> bytes:
        """Read the body until a time on trio's clock."""
        if self._http.they_are_waiting_for_100_continue:
            await self.send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        received_bytes = 0
        parts = 0
        remaining_bytes = int(dict(headers).get(b"content-length", b"0"))
        is_sized = b"transfer-encoding" not in dict(headers)
        while True:
            parts += 1
            if parts % _PARTS_PER_STEP == 0:
                await trio.lowlevel.checkpoint()
            match self._parse_event():
                case h11.EndOfMessage():
                    return bytes(body)
                case h11.Data(data=data):
                    body += data
                case h11.ConnectionClosed():
                    raise _CallerDisconnectedError
                case _:
                    framing_bytes = received_bytes - len(body)
                    if framing_bytes > (
                        _MAX_FRAMING_BYTES
                        + _MAX_FRAMING_PER_BODY_BYTE * len(body)
                    ):
                        raise _RequestRejectedError(
                            answers.create_own_answer(
                                results.ResultCode.BODY_TOO_LARGE,
                                f"{framing_bytes} bytes frame {len(body)} "
                                "of the body",
                            )
                        )
                    if not self._unparsed:
                        await self._receive_with_timeout(deadline)
                    count = min(len(self._unparsed), _RECEIVE_BYTES)
                    if is_sized:
                        count = min(count, remaining_bytes)
                    self._pass_bytes(count)
                    remaining_bytes -= count
                    received_bytes += count
            if len(body) > self._limits.body_bytes:
                raise _RequestRejectedError(self._create_body_too_large())

    async def _receive_with_timeout(self, deadline: float) -> None:
        receive_by = min(trio.current_time() + self._limits.header_s, deadline)
        with trio.move_on_at(receive_by):
            await self._receive()
            return
        code = results.ResultCode.SLOW_CALLER
        message = "the request's body did not arrive in time"
        raise _RequestRejectedError(answers.create_own_answer(code, message))

    async def _receive(self) -> None:
        """Receive bytes that are still to be parsed."""
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if not data and not self.is_idle:
            raise _CallerDisconnectedError
        self._unparsed += data

    def _parse_head(self) -> h11.Event | type[h11.NEED_DATA]:
        """Pass bytes up to the end of the head to the parser."""
        event = self._parse_event()
        if event is not h11.NEED_DATA:
            return event
        end = _BLANK_LINE.search(self._unparsed)
        if end is not None:
            self._pass_bytes(end.end())
        else:
            partial = _PARTIAL_BLANK_LINE.search(self._unparsed)
            self._pass_bytes(
                len(self._unparsed) if partial is None else partial.start()
            )
        return self._parse_event()

    def _pass_bytes(self, count: int) -> None:
        """Pass received bytes to the parser."""
        # An empty piece would mean that the caller has closed.
        if count:
            self._http.receive_data(bytes(self._unparsed[:count]))
            del self._unparsed[:count]

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            answer = answers.create_own_answer(
                results.ResultCode.MALFORMED_REQUEST,
                f"the request is malformed: {error}",
                status=error.error_status_hint,
            )
            raise _RequestRejectedError(answer) from error

    def _create_body_too_large(self) -> answers.OwnAnswer:
        code = results.ResultCode.BODY_TOO_LARGE
        limit = self._limits.body_bytes
        message = f"the body has more than {limit} bytes"
        return answers.create_own_answer(code, message)

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
            _AnswerWriter(self), self._codec, "", answer
        )
        await self._end_sending()
