"""Runner whose answers come without end, in any division into writes."""

from __future__ import annotations

import dataclasses

import trio

from tests import plain_runner

__all__ = ["EndlessAnswer", "EndlessRunner"]

_RECEIVE_BYTES = 65_536
_WRITE_BYTES = 65_536
_SHORT_ANSWER = (
    b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: %d\r\n\r\n%b"
    % (len(plain_runner.ANSWER), plain_runner.ANSWER)
)


@dataclasses.dataclass(frozen=True)
class EndlessAnswer:
    """The bytes of an answer and how they are sent.

    Attributes:
        first: Bytes that are sent once.
        piece: Bytes that are repeated until the other side closes.
        pause_s: Seconds between two writes.
        write_bytes: Size of one write; `piece` is repeated to fill it if there
            is no pause.
        most_bytes: Bytes after which nothing more is sent, so that a test of a
            reader without a bound ends.
    """

    first: bytes = b""
    piece: bytes = b"x"
    pause_s: float = 0.0
    write_bytes: int = _WRITE_BYTES
    most_bytes: int = 200_000_000


class EndlessRunner:
    """Answers each request on a connection of its own for ever.

    Args:
        answer: The answer without end.
        marker: Only requests with these bytes in their head get it; others get
            `plain_runner.ANSWER`.

    Attributes:
        address: Host and port.
        requests: Number of requests that arrived.
        sent_bytes: Bytes that the other side's kernel or this one's has taken.
        closed: Number of connections that the other side has closed.
    """

    def __init__(self, answer: EndlessAnswer, marker: bytes = b"") -> None:
        self.address = ""
        self._marker = marker
        self.requests = 0
        self.sent_bytes = 0
        self.closed = 0
        self._answer = answer

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
                head = await self._read_request(stream)
                if not head:
                    return
                self.requests += 1
                if self._marker not in head:
                    await stream.send_all(_SHORT_ANSWER)
                    return
                await self._send_for_ever(stream)
            except trio.BrokenResourceError:
                self.closed += 1

    async def _read_request(self, stream: trio.SocketStream) -> bytes:
        """Return the bytes of the request; empty without a whole head."""
        data = b""
        while b"\r\n\r\n" not in data:
            received = await stream.receive_some(_RECEIVE_BYTES)
            if not received:
                return b""
            data += received
        return data

    async def _send_for_ever(self, stream: trio.SocketStream) -> None:
        answer = self._answer
        piece = answer.piece
        if not answer.pause_s:
            piece *= max(1, answer.write_bytes // len(piece))
        await stream.send_all(answer.first)
        while self.sent_bytes < answer.most_bytes:
            await stream.send_all(piece)
            self.sent_bytes += len(piece)
            await trio.sleep(answer.pause_s)
        await trio.sleep_forever()
