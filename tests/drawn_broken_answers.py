"""Draw answers of a runner in trouble, and read them strictly.

The reader here shares no code with the daemon. It follows RFC 9112 and takes
only what no parser could read in another way.
"""

from __future__ import annotations

import dataclasses
import re
import socket
import struct
from typing import TYPE_CHECKING

import trio

from martenquay_standins import loopback

if TYPE_CHECKING:
    import random

__all__ = [
    "BrokenRunner",
    "DrawnAnswer",
    "WholeAnswer",
    "draw_answer",
    "read_strictly",
]

_RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_ODD_BYTES = bytes(range(33)) + b":;,-0159AZaz\x7f\x80\xff"
_ODD_PIECES = (
    b"\r\n ",
    b"\r\n\t",
    b"\r\n\r\n",
    b"\n",
    b" :",
    b"content-length: 3\r\n",
    b"transfer-encoding: chunked\r\n",
    b"attempt-id: other\r\n",
    b"connection: server-seal\r\n",
    b"HTTP/1.1 100 \r\n\r\n",
)
_EVENTS = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
_STATUS_LINE = re.compile(
    rb"HTTP/[0-9]\.[0-9] ([0-9]{3})(?: [\t\x20-\x7e\x80-\xff]*)?\r?"
)
_FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*"
    rb"([\x21-\x7e\x80-\xff]?(?:[\t\x20-\x7e\x80-\xff]*"
    rb"[\x21-\x7e\x80-\xff])?)[ \t]*\r?"
)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\n]*)?[ \t]*\r\n")
_BLANK_LINE = re.compile(rb"\n\r?\n")
_FIRST_FINAL_STATUS = 200
_MAX_STATUS = 599


@dataclasses.dataclass(frozen=True)
class DrawnAnswer:
    """What a runner sends, and how the connection ends.

    Attributes:
        raw: All bytes.
        is_reset: The connection is reset behind them.
        reads_request: The whole request is read before; otherwise its first
            bytes alone.
    """

    raw: bytes
    is_reset: bool
    reads_request: bool


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """An answer as a strict reader takes it.

    Attributes:
        status: The HTTP status.
        seal: Value of the seal.
        body: The whole body.
        ends_with_connection: Only the end of the connection ends the body.
    """

    status: int
    seal: bytes
    body: bytes
    ends_with_connection: bool


def draw_answer(rng: random.Random, call_id: bytes) -> DrawnAnswer:
    """Return an answer to a request, whole or broken somewhere."""
    head = b"HTTP/1.1 200 OK\r\nattempt-id: %b\r\nserver-seal: s1\r\n" % call_id
    framing = rng.choice(("length", "chunks", "connection"))
    if framing == "length":
        raw = head + b"content-length: %d\r\n\r\n" % len(_EVENTS) + _EVENTS
    elif framing == "chunks":
        half = len(_EVENTS) // 2
        chunks = (
            b"%x\r\n%b\r\n"
            * 2
            % (
                *(half, _EVENTS[:half]),
                *(len(_EVENTS) - half, _EVENTS[half:]),
            )
        )
        raw = head + b"transfer-encoding: chunked\r\n\r\n" + chunks
        raw += b"0\r\n\r\n"
    else:
        raw = head + b"\r\n" + _EVENTS
    for _ in range(rng.choice((0, 1, 1, 1, 2))):
        raw = _break(rng, raw)
    return DrawnAnswer(raw, rng.random() < 0.4, rng.random() < 0.5)


def _break(rng: random.Random, raw: bytes) -> bytes:
    at = rng.randrange(len(raw) + 1)
    match rng.randrange(6):
        case 0:
            return raw[:at]
        case 1:
            return raw[:at] + raw[at + rng.randrange(1, 4) :]
        case 2:
            return raw[:at] + rng.choice(_ODD_PIECES) + raw[at:]
        case 3:
            # At the begin of a line of the head.
            lines = [0, *(m.end() for m in re.finditer(rb"\r\n", raw))]
            at = rng.choice(lines)
            return raw[:at] + rng.choice(_ODD_PIECES) + raw[at:]
        case _:
            odd = bytes([rng.choice(_ODD_BYTES)])
            return raw[:at] + odd + raw[at + rng.randrange(2) :]


def read_strictly(raw: bytes, call_id: bytes) -> WholeAnswer | None:
    """Return the answer to a request; None unless it is whole and valid.

    Args:
        raw: All that the runner has sent.
        call_id: Id of the request.
    """
    while True:
        end = _BLANK_LINE.search(raw)
        if end is None:
            return None
        first, *lines = raw[: end.start()].split(b"\n")
        raw = raw[end.end() :]
        status = _STATUS_LINE.fullmatch(first)
        fields = [_FIELD.fullmatch(line) for line in lines]
        if status is None or None in fields:
            return None
        if int(status[1]) >= _FIRST_FINAL_STATUS:
            break
    pairs = [(one[1].lower(), one[2]) for one in fields if one is not None]
    ids = {value for name, value in pairs if name == b"attempt-id"}
    seals = [value for name, value in pairs if name == b"server-seal"]
    if int(status[1]) > _MAX_STATUS or ids - {call_id} or len(seals) != 1:
        return None
    framed = _read_body(pairs, raw)
    if framed is None:
        return None
    return WholeAnswer(int(status[1]), seals[0], *framed)


def _read_body(
    pairs: list[tuple[bytes, bytes]], raw: bytes
) -> tuple[bytes, bool] | None:
    """Return the body, and whether only the connection ends it."""
    codings = {v.lower() for n, v in pairs if n == b"transfer-encoding"}
    lengths = {v for n, v in pairs if n == b"content-length"}
    if codings:
        body = _read_chunks(raw) if codings == {b"chunked"} else None
        return None if body is None else (body, False)
    if not lengths:
        return raw, True
    # A list of equal lengths is one length.
    parts = {one.strip() for text in lengths for one in text.split(b",")}
    length = parts.pop()
    if parts or not length.isdigit() or len(raw) < int(length):
        return None
    return raw[: int(length)], False


def _read_chunks(raw: bytes) -> bytes | None:
    body = b""
    while (size := _CHUNK_SIZE.match(raw)) is not None:
        count = int(size[1], 16)
        raw = raw[size.end() :]
        if not count:
            return body if _ends_trailers(raw) else None
        if raw[count : count + 2] != b"\r\n":
            return None
        body += raw[:count]
        raw = raw[count + 2 :]
    return None


def _ends_trailers(raw: bytes) -> bool:
    if raw.startswith((b"\r\n", b"\n")):
        return True
    return _BLANK_LINE.search(raw) is not None


class BrokenRunner:
    """Answers each request with a drawn answer on a connection of its own.

    Attributes:
        address: Host and port.
        answers: What was sent, by request id.
    """

    def __init__(self, rng: random.Random) -> None:
        self.address = ""
        self.answers: dict[bytes, DrawnAnswer] = {}
        self._random = rng

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        port = listeners[0].socket.getsockname()[1]
        self.address = loopback.create_address(port)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await self._answer(stream)
            except trio.BrokenResourceError:
                return

    async def _answer(self, stream: trio.SocketStream) -> None:
        data = await stream.receive_some(_RECEIVE_BYTES)
        if not data:
            return
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        call_id = fields[b"attempt-id"]
        answer = draw_answer(self._random, call_id)
        self.answers[call_id] = answer
        left = int(fields.get(b"content-length", b"0")) - len(body)
        while answer.reads_request and left > 0:
            left -= len(await stream.receive_some(_RECEIVE_BYTES))
        await stream.send_all(answer.raw)
        if answer.is_reset:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        elif answer.reads_request:
            await stream.send_eof()
