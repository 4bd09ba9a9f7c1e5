"""Read the requests of one caller's connection, within its share of memory."""

from __future__ import annotations

import contextlib
import re
from typing import TYPE_CHECKING

import h11
import trio

from martenquay_daemon.forwarding import chunked_body, rejections
from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import calls, catalog
    from martenquay_daemon.forwarding import answers

__all__ = ["CallerInput"]

_RECEIVE_BYTES = 16_384
# A larger piece of a chunked body, which may take a millisecond, waits for its
# turn, so that all connections together parse one of them a round of the loop.
_MAX_PIECE_WITHOUT_TURN_BYTES = 2048
# Ends a chunked body at h11, which does not see its chunks.
_LAST_CHUNK = b"0\r\n\r\n"
# Bytes of further requests that are buffered while one is being answered;
# without a limit a caller could fill the daemon's memory.
_MAX_PIPELINED_BYTES = 65_536
# Ends a head, as h11 finds it.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# May become a blank line with the bytes that follow.
_PARTIAL_BLANK_LINE = re.compile(rb"\n\r?\Z")


class CallerInput:
    """Bytes that a caller has sent, and the requests in them."""

    def __init__(
        self,
        stream: trio.SocketStream,
        http: h11.Connection,
        budget: caller_budget.CallerBudget,
        parsing_turn: trio.Lock,
    ) -> None:
        """Create the input of a connection.

        Args:
            stream: The connection.
            http: Its parser, which also sends the answers.
            budget: Bounds what all connections hold.
            parsing_turn: Held while a large piece of a chunked body is parsed.
        """
        self._stream = stream
        self._http = http
        # Received and not yet passed to the parser, which gets no more than
        # the current request: it would keep the rest, and has no bound on it.
        self._unparsed = bytearray()
        self._body = bytearray()
        # Of the body that is being answered.
        self._taken_bytes = 0
        self._budget = budget
        self._parsing_turn = parsing_turn
        self._holding = caller_budget.Holding(self.refuse)
        self._refusal: answers.OwnAnswer | None = None
        self._receive_scope: trio.CancelScope | None = None
        self._reject_early: Callable[[], answers.OwnAnswer | None] | None = None

    def has_bytes(self) -> bool:
        """Return whether bytes have been received that no request has taken."""
        return bool(self._unparsed)

    def has_request(self) -> bool:
        """Return whether they begin a further request, not just blank lines."""
        return bool(self._unparsed.strip())

    def begin_request(self, received_at: float) -> None:
        """Begin to count what a request holds; it may be refused from now on.

        Args:
            received_at: When its first byte arrived, on trio's clock.
        """
        self._holding.since = received_at
        self._holding.is_refusable = True

    def end_request(self) -> None:
        """Count only what has been received of further requests."""
        self._taken_bytes = 0
        self._count_held_bytes()

    @property
    def is_reading(self) -> bool:
        """Whether a request is being read, so that it may be refused."""
        return self._holding.is_refusable

    def refuse(self, answer: answers.OwnAnswer | None = None) -> None:
        """Drop what is held; the request that is being read is refused.

        Args:
            answer: The answer; by default that there is no room.
        """
        self._refusal = answer or rejections.create_no_room()
        self._unparsed.clear()
        self._body.clear()
        if self._receive_scope is not None:
            self._receive_scope.cancel()

    def drop(self) -> None:
        """Drop all that was received; no request follows."""
        self._holding.is_refusable = False
        self._unparsed.clear()
        self._body.clear()
        self._taken_bytes = 0
        self._count_held_bytes()

    async def receive(self) -> bool:
        """Receive bytes; return False at their end.

        Raises:
            RequestRejectedError: The request was refused for lack of room.
        """
        data = b""
        scope = self._receive_scope = trio.CancelScope()
        with scope, contextlib.suppress(trio.BrokenResourceError):
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        self._receive_scope = None
        if self._refusal is None:
            self._unparsed += data
            if not self._count_held_bytes():
                self._refusal = rejections.create_no_room()
        self._check_refused()
        return bool(data)

    async def receive_ahead(self) -> bool:
        """Receive bytes of further requests; return False at their end.

        Returns True once no more of them may be buffered.
        """
        while len(self._unparsed) < _MAX_PIPELINED_BYTES:
            if not self._budget.has_room(_RECEIVE_BYTES):
                return True
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            if not data:
                return False
            self._unparsed += data
            self._count_held_bytes()
        return True

    def parse_head(self) -> h11.Event | type[h11.NEED_DATA]:
        """Pass bytes up to the end of the head to the parser.

        Raises:
            RequestRejectedError: The head is malformed or too large.
        """
        end = _BLANK_LINE.search(self._unparsed)
        if end is not None:
            self._pass_bytes(end.end())
        else:
            partial = _PARTIAL_BLANK_LINE.search(self._unparsed)
            self._pass_bytes(
                len(self._unparsed) if partial is None else partial.start()
            )
        return self._parse_event()

    async def read_body(
        self,
        headers: calls.Headers,
        limits: catalog.CallerLimits,
        deadline: float,
        reject_early: Callable[[], answers.OwnAnswer | None],
    ) -> bytes:
        """Read the body until a time on trio's clock.

        Args:
            headers: The request's headers.
            limits: The limits in force.
            deadline: The time.
            reject_early: Returns the answer to a request whose body need not
                be read; asked once, of a body that takes several reads.

        Raises:
            RequestRejectedError: The body is malformed, too large or too slow,
                or was refused for lack of room.
            CallerDisconnectedError: The caller closed the connection.
        """
        self._reject_early = reject_early
        fields = dict(headers)
        if b"transfer-encoding" in fields:
            await self._read_chunks(limits, deadline)
            self._http.receive_data(_LAST_CHUNK)
        length = int(fields.get(b"content-length", b"0"))
        while True:
            match self._parse_event():
                case h11.EndOfMessage():
                    return self._take_body()
                case h11.Data(data=data):
                    self._body += data
                case h11.ConnectionClosed():
                    raise rejections.CallerDisconnectedError
                case _:
                    if not self._unparsed:
                        await self._receive_with_timeout(limits, deadline)
                    remaining_bytes = max(1, length - len(self._body))
                    self._pass_bytes(min(remaining_bytes, _RECEIVE_BYTES))

    async def _read_chunks(
        self, limits: catalog.CallerLimits, deadline: float
    ) -> None:
        """Decode a chunked body until its end."""
        decoder = chunked_body.ChunkedBody(self._body)
        received_bytes = 0
        while not decoder.has_ended:
            if not self._unparsed:
                await self._receive_with_timeout(limits, deadline)
            if len(self._unparsed) > _MAX_PIECE_WITHOUT_TURN_BYTES:
                async with self._parsing_turn:
                    self._check_refused()
                    received_bytes += self._decode_piece(decoder)
            else:
                received_bytes += self._decode_piece(decoder)
            body_bytes = len(self._body)
            framing = received_bytes - body_bytes
            answer = None
            if body_bytes > limits.body_bytes:
                answer = rejections.create_body_too_large(limits.body_bytes)
            elif chunked_body.is_mostly_framing(framing, body_bytes):
                answer = rejections.create_too_much_framing(framing, body_bytes)
            elif decoder.idle_bytes > limits.header_bytes:
                answer = rejections.create_framing_too_large()
            if answer is not None:
                raise rejections.RequestRejectedError(answer)

    def _decode_piece(self, decoder: chunked_body.ChunkedBody) -> int:
        """Decode received bytes; return how many of them."""
        piece = bytes(self._unparsed[:_RECEIVE_BYTES])
        try:
            taken = decoder.feed(piece)
        except chunked_body.MalformedChunkError as error:
            answer = rejections.create_malformed(error)
            raise rejections.RequestRejectedError(answer) from error
        del self._unparsed[:taken]
        return taken

    def _take_body(self) -> bytes:
        """Return the body; it is counted until the request has ended."""
        self._holding.is_refusable = False
        body = bytes(self._body)
        self._taken_bytes = len(body)
        self._body.clear()
        return body

    def _check_refused(self) -> None:
        if self._refusal is not None:
            raise rejections.RequestRejectedError(self._refusal)

    def _check_wanted(self) -> None:
        """Reject a long body that no answer depends on."""
        held_bytes = len(self._unparsed) + len(self._body)
        if self._reject_early is None or held_bytes <= caller_budget.FREE_BYTES:
            return
        answer = self._reject_early()
        self._reject_early = None
        if answer is not None:
            raise rejections.RequestRejectedError(answer)

    def _count_held_bytes(self) -> bool:
        """Count what is held; return False if this request is to be refused."""
        held_bytes = len(self._unparsed) + len(self._body) + self._taken_bytes
        return self._budget.resize(self._holding, held_bytes)

    async def _receive_with_timeout(
        self, limits: catalog.CallerLimits, deadline: float
    ) -> None:
        with trio.move_on_at(
            min(trio.current_time() + limits.header_s, deadline)
        ):
            if not await self.receive():
                raise rejections.CallerDisconnectedError
            self._check_wanted()
            return
        raise rejections.RequestRejectedError(rejections.create_slow_body())

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            answer = rejections.create_malformed(error, error.error_status_hint)
            raise rejections.RequestRejectedError(answer) from error

    def _pass_bytes(self, count: int) -> None:
        """Pass received bytes to the parser, at most `count`."""
        # An empty piece would mean that the caller has closed.
        if count:
            self._http.receive_data(bytes(self._unparsed[:count]))
            del self._unparsed[:count]
