"""Runner of a plain service that answers each request once it has read it.

A path that ends with `wait-MS` delays its answer by so many milliseconds.
"""

from __future__ import annotations

import h11
import trio

from martenquay_standins import loopback

__all__ = ["ANSWER", "PlainRunner"]

ANSWER = b"fine"
_RECEIVE_BYTES = 65_536


class PlainRunner:
    """Fake runner on loopback.

    Args:
        long_answer: Body of the answers to requests whose path has `long`.

    Attributes:
        address: Host and port.
        arrivals: Ids of the requests that arrived, in order.
        requests: Number of body bytes of each request that was answered.
    """

    def __init__(self, long_answer: bytes = ANSWER) -> None:
        self.address = ""
        self.arrivals: list[bytes] = []
        self.requests: list[int] = []
        self._long_answer = long_answer

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                await self._serve_one(stream)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            # The daemon resets connections that it needs no more.
            pass

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        call_id = b""
        answer = ANSWER
        delay_s = 0.0
        body_bytes = 0
        while True:
            match http.next_event():
                case h11.Request(headers=headers, target=target):
                    answer = self._long_answer if b"long" in target else ANSWER
                    call_id = dict(headers).get(b"attempt-id", b"")
                    delay_s = _find_delay(target)
                case h11.Data(data=data):
                    body_bytes += len(data)
                case h11.EndOfMessage():
                    break
                case h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(_RECEIVE_BYTES))
                case _:
                    return
        self.arrivals.append(call_id)
        await trio.sleep(delay_s)
        self.requests.append(body_bytes)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nserver-seal: s\r\nattempt-id: %b\r\n"
            b"content-length: %d\r\n\r\n%b" % (call_id, len(answer), answer)
        )


def _find_delay(target: bytes) -> float:
    _, _, text = target.partition(b"wait-")
    return int(text or b"0") / 1000
