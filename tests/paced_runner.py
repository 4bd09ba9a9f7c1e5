"""Runner whose streams have an event for each token, at a pace."""

from __future__ import annotations

import dataclasses

import trio

__all__ = ["PacedRunner", "Run"]

_RECEIVE_BYTES = 65_536


@dataclasses.dataclass
class Run:
    """One request that the runner has begun.

    Attributes:
        began_at: When it was received, on trio's clock.
        ended_at: When the runner stopped working on it; None before.
        is_whole: The last event was sent.
    """

    began_at: float
    ended_at: float | None = None
    is_whole: bool = False


class PacedRunner:
    """Fake runner on loopback.

    Attributes:
        address: Host and port.
        event_s: Seconds between events; may be changed at any time.
        requests: The heads that it has received.
        runs: Runs by request id, in the order of arrival.
    """

    def __init__(self, event_s: float) -> None:
        self.address = ""
        self.event_s = event_s
        self.requests: list[bytes] = []
        self.runs: dict[str, list[Run]] = {}

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
        try:
            async with stream:
                while await self._serve_one(stream):
                    pass
        except trio.BrokenResourceError:
            pass

    async def _serve_one(self, stream: trio.SocketStream) -> bool:
        head = b""
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(_RECEIVE_BYTES)
            if not data:
                return False
            head += data
        self.requests.append(head)
        headers = _read_headers(head)
        tokens = int(headers[b"token-counts"].partition(b",")[2])
        run = Run(trio.current_time())
        self.runs.setdefault(headers[b"attempt-id"].decode(), []).append(run)
        try:
            await self._send_events(stream, headers[b"attempt-id"], tokens)
            run.is_whole = True
        finally:
            run.ended_at = trio.current_time()
        return True

    async def _send_events(
        self, stream: trio.SocketStream, call_id: bytes, tokens: int
    ) -> None:
        events = [b"id: %d\ndata: x\n\n" % n for n in range(1, tokens + 1)]
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nserver-seal: s\r\nattempt-id: "
            + call_id
            + b"\r\ncontent-type: text/event-stream\r\n"
            b"content-length: %d\r\n\r\n" % sum(map(len, events))
        )
        for event in events:
            await trio.sleep(self.event_s)
            await stream.send_all(event)


def _read_headers(head: bytes) -> dict[bytes, bytes]:
    lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = [line.partition(b":") for line in lines]
    return {name.lower(): value.strip() for name, _, value in pairs}
