"""Draw answers without end, and divisions of whole answers, from a seed."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import random

__all__ = [
    "EVENTS",
    "PLAIN_BODY",
    "DrawnRunner",
    "Fault",
    "draw_fault",
    "draw_whole",
]

_RECEIVE_BYTES = 65_536
_WRITE_BYTES = 65_536
_HEAD = b"HTTP/1.1 200 OK\r\nserver-seal: s1\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_UNSIZED = _HEAD + b"\r\n"
EVENTS = 12
_MAX_CUTS = 60
PLAIN_BODY = b"fine" * 500
# Where the bytes without end begin, and the part that repeats.
_FAULTS = (
    (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
    (b"HTTP/1.1 200 OK\r\n", b"x: x\r\n"),
    (b"", b"HTTP/1.1 100 \r\n\r\n"),
    (b"", b"\x00\xff"),
    (b"", b"\r\n"),
    (_UNSIZED, b"x"),
    (_UNSIZED, b"\r\n"),
    (_UNSIZED, b"\r"),
    (_UNSIZED, b"data: x\n"),
    (_UNSIZED, b": x\n\n"),
    (_UNSIZED, b"id: 1\rdata: x\r\r"),
    (_HEAD + b"content-length: 900000000000\r\n\r\n", b"x"),
    (_UNSIZED.replace(b"200 OK", b"500 X"), b"x"),
    (_CHUNKED, b"1\r\nx\r\n"),
    (_CHUNKED, b"1;" + b"y" * 8000 + b"\r\nx\r\n"),
    (_CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    (_CHUNKED, b"0"),
    (_CHUNKED + b"1;", b"y"),
    (_CHUNKED + b"0\r\n", b"x: x\r\n"),
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """An answer without end.

    Attributes:
        first: Bytes that are sent once.
        piece: Bytes that are repeated.
        pause_s: Seconds between two pieces; 0 for as fast as they are taken.
    """

    first: bytes
    piece: bytes
    pause_s: float

    def __str__(self) -> str:
        """Return the begin of its bytes, for messages."""
        return f"{self.first[-60:]!r} {self.piece[:20]!r} {self.pause_s} s"

    @property
    def drips(self) -> bool:
        """Whether the bytes come slowly."""
        return self.pause_s > 0

    @property
    def drips_success(self) -> bool:
        """Whether a success begins and its bytes come slowly."""
        return self.drips and b"HTTP/1.1 200" in self.first


def draw_fault(generator: random.Random) -> Fault:
    """Return an answer without end, fast or slow."""
    first, piece = generator.choice(_FAULTS)
    pause_s = generator.choice((0.0, 0.0, 0.01, 0.1))
    return Fault(first, piece, pause_s)


def draw_whole(
    generator: random.Random, *, is_stream: bool
) -> tuple[bytes, list[bytes]]:
    """Return the body of a whole answer, and the writes that send it."""
    body = PLAIN_BODY
    if is_stream:
        line_end = generator.choice((b"\n", b"\r\n", b"\r"))
        lines = (b"id: %d", b"data: token", b"", b"")
        body = b"".join(
            line_end.join(lines) % number for number in range(1, EVENTS + 1)
        )
    if generator.random() < 0.5:  # noqa: PLR2004
        raw = _UNSIZED + body
    else:
        pieces = _divide(generator, body)
        chunks = [b"%x\r\n%s\r\n" % (len(p), p) for p in pieces]
        raw = _CHUNKED + b"".join(chunks) + b"0\r\n\r\n"
    return body, _cut(generator, raw)


def _cut(generator: random.Random, whole: bytes) -> list[bytes]:
    """Divide at a few points; each write takes a turn of the loop."""
    count = generator.randrange(_MAX_CUTS)
    points = sorted(generator.choices(range(1, len(whole)), k=count))
    return [
        whole[start:end]
        for start, end in itertools.pairwise([0, *points, len(whole)])
        if start < end
    ]


def _divide(generator: random.Random, whole: bytes) -> list[bytes]:
    most = generator.choice((2, 20, 400))
    pieces = []
    while whole:
        size = generator.randrange(1, most + 1)
        pieces.append(whole[:size])
        whole = whole[size:]
    return pieces


class DrawnRunner:
    """Runner that answers for ever, or whole in drawn divisions.

    Attributes:
        address: Host and port.
        fault: What it answers for ever; None if it is healthy.
        heard: Ids of the requests that arrived.
        bodies: Bodies of its whole answers by request id.
    """

    def __init__(self, generator: random.Random, fault: Fault | None) -> None:
        self.address = ""
        self.fault = fault
        self.heard: list[bytes] = []
        self.bodies: dict[bytes, bytes] = {}
        self._generator = generator

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await self._answer(stream)
            except trio.BrokenResourceError:
                return

    async def _answer(self, stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(_RECEIVE_BYTES)
            if not data:
                return
            head += data
        call_id = head.split(b"attempt-id: ", 1)[1].split(b"\r\n", 1)[0]
        self.heard.append(call_id)
        if self.fault is not None:
            await self._send_for_ever(stream, self.fault)
            return
        body, writes = draw_whole(
            self._generator, is_stream=b" /chat/" in head.split(b"\r\n")[0]
        )
        self.bodies[call_id] = body
        for write in writes:
            await stream.send_all(write)
            # Lets the other side read before the next write.
            await trio.lowlevel.checkpoint()

    async def _send_for_ever(
        self, stream: trio.SocketStream, fault: Fault
    ) -> None:
        piece = fault.piece
        if not fault.drips:
            piece *= max(1, _WRITE_BYTES // len(piece))
        await stream.send_all(fault.first)
        while True:
            await stream.send_all(piece)
            await trio.sleep(fault.pause_s)
