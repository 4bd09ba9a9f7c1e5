"""Serve the load balancer's readiness check and metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.util import listening, serving

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from martenquay_core.settings import gateway

__all__ = ["ReadinessApp", "ReadinessServer"]

_BACKLOG = 100
_READY = 200
_NOT_READY = 503
_NOT_FOUND = 404


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
        """Serve until cancelled."""
        # Imported here, since hypercorn's import (80 ms) would delay the
        # listener.
        from martenquay_core.util import server  # noqa: PLC0415

        if self._raw_socket is None:
            self.listen()
        raw_socket, self._raw_socket = self._raw_socket, None
        options = server.ServerOptions(listening_socket=raw_socket)
        await server.serve_app(self._app, options)
