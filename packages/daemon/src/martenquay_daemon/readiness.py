"""Serve the load balancer's readiness check and metrics over HTTP."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from martenquay_core.util import listening, serving
from martenquay_daemon import supervision

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from martenquay_core.settings import gateway

__all__ = ["ReadinessApp", "ReadinessServer"]

_BACKLOG = 100
_READY = 200
_NOT_READY = 503
_NOT_FOUND = 404
# The load balancer probes each second.
_RESTART_DELAY_S = 0.1


class ReadinessApp:
    """ASGI app that answers readiness checks and metrics scrapes."""

    def __init__(
        self,
        listen: gateway.GatewayListen,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._listen = listen
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Answer one ASGI scope."""
        if scope["type"] == "lifespan":
            await serving.answer_lifespan(receive, send)
            return
        status, body = self._answer(scope.get("path", ""))
        await serving.send_answer(send, status, body)

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self._listen.readiness_path:
            return (_READY if self._is_ready() else _NOT_READY), b""
        if path == self._listen.metrics_path:
            return _READY, self._render_metrics()
        return _NOT_FOUND, b""


class ReadinessServer:
    """Serves the readiness check and the metrics at their address."""

    def __init__(self, app: ReadinessApp, address: str) -> None:
        self._app = app
        self._address = address
        self._raw_socket: socket.socket | None = None

    def listen(self) -> None:
        """Listen; connections wait until `run` accepts them.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._raw_socket = listening.open_socket(self._address, _BACKLOG)

    async def run(self) -> None:
        """Serve until cancelled; after a fault anew, on the same socket."""
        if self._raw_socket is None:
            self.listen()
        with self._raw_socket as raw_socket:
            await supervision.keep_running(
                "readiness",
                functools.partial(self._serve, raw_socket),
                _RESTART_DELAY_S,
            )

    async def _serve(self, raw_socket: socket.socket) -> None:
        # Imported here, since hypercorn's import (80 ms) would delay the
        # listener.
        from martenquay_core.util import server  # noqa: PLC0415

        # hypercorn closes its socket when it ends. Meanwhile connections wait
        # in the queue of this one.
        options = server.ServerOptions(listening_socket=raw_socket.dup())
        await server.serve_app(self._app, options)
