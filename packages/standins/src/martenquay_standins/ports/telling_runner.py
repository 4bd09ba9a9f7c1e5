"""A plain runner that tells of its own state in its answers."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_standins import windows

__all__ = ["Arrival", "TellingRunner"]

_RECEIVE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has come.

    Attributes:
        at: When, in trio's time.
        headers: Its headers, names in lower case.
        is_refused: It was turned away and did not run.
    """

    at: float
    headers: dict[bytes, bytes]
    is_refused: bool


class TellingRunner:
    """A runner on loopback whose answers carry what it is told to say.

    Attributes:
        address: Host and port.
        lines: Header lines that all of its answers carry now.
        refusal: Header lines of the 503 that it answers now; None to serve.
        arrivals: The requests that came, in order.
    """

    def __init__(self) -> None:
        self.address = ""
        self.lines: tuple[bytes, ...] = ()
        self.refusal: tuple[bytes, ...] | None = None
        self.arrivals: list[Arrival] = []

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def count_most(self, window_s: float, from_at: float) -> int:
        """Return the most requests that came in any window from a time on."""
        times = [one.at for one in self.arrivals if one.at >= from_at]
        return windows.count_most(times, window_s)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                while raw := await _read_head(stream):
                    await stream.send_all(self._answer(raw))
        except trio.BrokenResourceError:
            # Whoever only asks whether the runner is there resets.
            return

    def _answer(self, raw: bytes) -> bytes:
        headers = _split_headers(raw)
        refusal = self.refusal
        arrival = Arrival(
            trio.current_time(), headers, is_refused=refusal is not None
        )
        self.arrivals.append(arrival)
        lines = [b"HTTP/1.1 %d X" % (200 if refusal is None else 503)]
        lines.append(b"attempt-id: " + headers.get(b"attempt-id", b""))
        lines += self.lines
        if refusal is None:
            lines += [b"server-seal: s1", b"content-length: 4"]
            return b"\r\n".join(lines) + b"\r\n\r\nfine"
        lines += [*refusal, b"not-executed: 1", b"content-length: 0"]
        return b"\r\n".join(lines) + b"\r\n\r\n"


async def _read_head(stream: trio.SocketStream) -> bytes:
    """Return a whole head, or nothing if the other side has closed."""
    raw = b""
    while b"\r\n\r\n" not in raw:
        data = await stream.receive_some(_RECEIVE_BYTES)
        if not data:
            return b""
        raw += data
    return raw


def _split_headers(raw: bytes) -> dict[bytes, bytes]:
    headers = {}
    for line in raw.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return headers
