"""Serve the load balancer's readiness check and metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.util import serving

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.settings import gateway

__all__ = ["ReadinessApp"]

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
