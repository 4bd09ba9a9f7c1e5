"""Runner whose answers carry given headers, such as load reports."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_standins import loopback, windows

__all__ = ["Arrival", "ReportingRunner"]

_RECEIVE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A received request.

    Attributes:
        at: When it was received, in seconds of the trio clock.
        headers: Its headers by name in lower case.
        is_refused: It was answered with 503 and not executed.
    """

    at: float
    headers: dict[bytes, bytes]
    is_refused: bool


class ReportingRunner:
    """Fake runner on loopback that adds given header lines to its answers.

    Attributes:
        address: Host and port.
        lines: Header lines to add to all answers.
        refusal: Header lines of 503 answers; None to serve requests.
        arrivals: The received requests in order.
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
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def find_peak_count(self, window_s: float, from_at: float) -> int:
        """Return the most requests in any window since `from_at`."""
        times = [one.at for one in self.arrivals if one.at >= from_at]
        return windows.find_peak_count(times, window_s)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                while raw := await _read_head(stream):
                    await stream.send_all(self._answer(raw))
        except trio.BrokenResourceError:
            # Connect probes close with a reset.
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
    """Return a request head, or b"" if the client has closed."""
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
