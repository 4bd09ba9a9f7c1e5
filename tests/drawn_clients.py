"""Draw clients outside the limits: what they send, and where they stop."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import socket
import struct
from typing import TYPE_CHECKING

import trio

from tests import crowd_scene

if TYPE_CHECKING:
    import random

__all__ = ["ClientPlan", "draw_plan", "play_plan"]

_RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_PATHS = (b"/lookup/7", b"/nowhere/7")
_ENDPOINTS = ("callers", "callers", "callers", "readiness", "relay")
_MAX_SENT_BYTES = 6_000_000
# A client that is not read any more stops sending after this time.
_SEND_S = 6.0


class _Kind(enum.Enum):
    """What a client sends."""

    NOTHING = enum.auto()
    HALF_HEAD = enum.auto()
    CHUNKS = enum.auto()
    SIZED = enum.auto()
    AHEAD = enum.auto()
    EXTENSIONS = enum.auto()


class _End(enum.Enum):
    """What a client does after it has sent all."""

    STAY = enum.auto()
    HALF_CLOSE = enum.auto()
    RESET = enum.auto()


@dataclasses.dataclass(frozen=True)
class ClientPlan:
    """One client's plan.

    Attributes:
        kind: What it sends.
        end: What it does then.
        endpoint: Where it connects, one of `start_addresses.ENDPOINTS`.
        path: The path of its requests.
        piece_bytes: Size of its chunks or pieces.
        sent_bytes: How much it sends at least.
        reads: It reads what comes back.
    """

    kind: _Kind
    end: _End
    endpoint: str
    path: bytes
    piece_bytes: int
    sent_bytes: int
    reads: bool


def draw_plan(generator: random.Random) -> ClientPlan:
    """Return a drawn plan."""
    kind = generator.choice(list(_Kind))
    piece_bytes = generator.choice([1, 2, 16, 1000, 65_536])
    return ClientPlan(
        kind,
        generator.choice([_End.STAY, _End.STAY, _End.HALF_CLOSE, _End.RESET]),
        generator.choice(_ENDPOINTS),
        generator.choice(_PATHS),
        piece_bytes,
        generator.randrange(_MAX_SENT_BYTES),
        generator.random() < 0.5,
    )


async def play_plan(plan: ClientPlan, stream: trio.SocketStream) -> None:
    """Send what a plan says on a connection, which stays open unless reset."""
    first, piece = _build_bytes(plan)
    with trio.move_on_after(_SEND_S):
        async with trio.open_nursery() as nursery:
            if plan.reads:
                nursery.start_soon(_read_all, stream)
            # The daemon may refuse the client and close its connection.
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(first)
                if piece:
                    for _ in range(1 + plan.sent_bytes // len(piece)):
                        await stream.send_all(piece)
            nursery.cancel_scope.cancel()
    match plan.end:
        case _End.HALF_CLOSE:
            await stream.send_eof()
        case _End.RESET:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            await trio.aclose_forcefully(stream)


def _build_bytes(plan: ClientPlan) -> tuple[bytes, bytes]:
    """Return what a client sends first, and what it repeats."""
    head = b"POST %b HTTP/1.1\r\nhost: desk.example\r\n" % plan.path
    chunked = head + b"transfer-encoding: chunked\r\n\r\n"
    body = bytes(plan.piece_bytes)
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    match plan.kind:
        case _Kind.NOTHING:
            return b"", b""
        case _Kind.HALF_HEAD:
            return head + b"x: " + body[:8000], b""
        case _Kind.CHUNKS:
            # Small ones in bundles, or the clients would be the slow part.
            return chunked, chunk * max(1, 16_384 // len(chunk))
        case _Kind.SIZED:
            length = b"content-length: %d\r\n\r\n" % crowd_scene.BODY_BYTES
            return head + length, body * max(1, 16_384 // len(body))
        case _Kind.AHEAD:
            return b"", (head + b"\r\n") * 200
        case _Kind.EXTENSIONS:
            extension = b"y" * min(plan.piece_bytes, 4000)
            return chunked, b"1;" + extension + b"\r\nx\r\n"


async def _read_all(stream: trio.SocketStream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some(_RECEIVE_BYTES):
            pass
