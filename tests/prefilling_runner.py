"""Runner that writes the pieces of its answer at a fixed interval."""

from __future__ import annotations

import trio

__all__ = ["PrefillingRunner"]

_RECEIVE_BYTES = 65_536
_INTERVAL_S = 0.1


class PrefillingRunner:
    """Answers each request with the same pieces, then closes.

    Attributes:
        address: Host and port.
    """

    def __init__(self, pieces: list[bytes]) -> None:
        self.address = ""
        self._pieces = pieces

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
                if not await stream.receive_some(_RECEIVE_BYTES):
                    return
                for piece in self._pieces:
                    await stream.send_all(piece)
                    await trio.sleep(_INTERVAL_S)
            except trio.BrokenResourceError:
                return
