"""Draw what other programs may send to a daemon's ports."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING

import trio

from tests import odd_messages

if TYPE_CHECKING:
    import random

    import zmq

    from tests import start_addresses

__all__ = ["OddInput"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MAX_BURST = 40
_MESSAGES = 20
_REQUESTS = (
    b"GET /note/1 HTTP/1.1\r\nhost: desk.example\r\n",
    b"GET /ready HTTP/1.1\r\nhost: a\r\n",
    b"CONNECT 127.0.0.1:1 HTTP/1.1\r\nhost: a\r\n",
    b"POST /note/1 HTTP/1.1\r\nhost: desk.example\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
)
_HEADERS = (
    b"token-counts: 99999999999999999999999999,1",
    b"deadline-ms: " + b"9" * 400,
    b"prefix-hash: aa:" + b"9" * 5000 + b",\xb2:\xb2",
    b"content-length: " + b"9" * 5000,
    b"content-length: -1",
    b"transfer-encoding: chunked, chunked",
    b"last-event-id: " + b"9" * 5000,
    b"connection: upgrade\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABk",
    b"upgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-key: a",
    b"expect: 100-continue",
)
# The greeting of ZMTP 3, its end, and frames that announce huge sizes.
_GREETINGS = (
    b"\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f",
    b"\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f\x03\x00NULL" + b"\x00" * 48,
    b"\x02\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x04\x05READY",
)


class OddInput:
    """Draws inputs for the ports of one daemon and sends them."""

    def __init__(
        self,
        rng: random.Random,
        addresses: start_addresses.StartAddresses,
        context: zmq.Context[zmq.Socket[bytes]],
    ) -> None:
        self._rng = rng
        self._addresses = addresses
        self._context = context

    async def send(self, count: int) -> list[str]:
        """Send a number of drawn inputs; return their names in order."""
        names = []
        for _ in range(count):
            action = self._rng.choice(
                [
                    self._send_junk,
                    self._send_half_head,
                    self._send_request,
                    self._send_greeting,
                    self._send_messages,
                    self._open_burst,
                ]
            )
            names.append(action.__name__)
            # The daemon may close the connection, or listen no more.
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await action()
        return names

    async def _send_junk(self) -> None:
        await self._send_bytes(self._rng.randbytes(self._rng.randrange(3000)))

    async def _send_half_head(self) -> None:
        request = self._rng.choice(_REQUESTS)
        await self._send_bytes(request[: self._rng.randrange(len(request))])

    async def _send_request(self) -> None:
        headers = self._rng.sample(_HEADERS, self._rng.randrange(4))
        lines = b"".join(header + b"\r\n" for header in headers)
        body = self._rng.randbytes(self._rng.randrange(50))
        request = self._rng.choice(_REQUESTS)
        await self._send_bytes(request + lines + b"\r\n" + body)

    async def _send_greeting(self) -> None:
        drawn = self._rng.choices(_GREETINGS, k=self._rng.randrange(1, 4))
        await self._send_bytes(b"".join(drawn))

    async def _send_messages(self) -> None:
        raw_socket = self._context.socket(self._rng.choice([5, 3]))
        raw_socket.connect(f"tcp://{self._addresses.format('peers')}")
        for _ in range(_MESSAGES):
            frames = [odd_messages.draw_message(self._rng)]
            if self._rng.random() < 0.1:
                frames.append(self._rng.randbytes(9))
            with contextlib.suppress(Exception):
                raw_socket.send_multipart(frames, 1)
        await trio.sleep(self._rng.uniform(0.0, 0.1))
        raw_socket.close(0)

    async def _open_burst(self) -> None:
        host, port = self._draw_address()
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(self._rng.randrange(1, _MAX_BURST)):
                stream = await trio.open_tcp_stream(host, port)
                await stack.enter_async_context(stream)
                self._draw_reset(stream)

    async def _send_bytes(self, data: bytes) -> None:
        host, port = self._draw_address()
        async with await trio.open_tcp_stream(host, port) as stream:
            await stream.send_all(data)
            with trio.move_on_after(self._rng.choice([0.0, 0.01, 0.1])):
                await stream.receive_some(100)
            self._draw_reset(stream)

    def _draw_address(self) -> tuple[str, int]:
        names = ["callers", "readiness", "peers", "relay"]
        return self._addresses.find(self._rng.choice(names))

    def _draw_reset(self, stream: trio.SocketStream) -> None:
        if self._rng.random() < 0.5:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
