"""Serve the load balancer's readiness check and metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.serving import catalog
from martenquay_daemon import supervision
from martenquay_daemon.forwarding import connection_limit, listener
from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import calls, ports
    from martenquay_core.settings import gateway
    from martenquay_daemon.forwarding import answers

__all__ = ["ReadinessHandler", "ReadinessServer", "create_server"]

_READY = 200
_NOT_READY = 503
_NOT_FOUND = 404
# The load balancer probes each second.
_RESTART_DELAY_S = 0.1
# The load balancer and the collector of metrics have one or two each, also
# where there are several of them.
_MAX_CONNECTIONS = 24
_BUDGET_BYTES = 1_000_000
_LIMITS = catalog.CallerLimits(
    header_bytes=16_384, body_bytes=65_536, header_s=3.0, idle_s=30.0
)


class ReadinessHandler:
    """Answers readiness checks and metrics scrapes.

    Implements `caller_connection.CallHandler`.
    """

    def __init__(
        self,
        listen: gateway.GatewayListen,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._listen = listen
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    def reject_early(self, call: calls.Call) -> None:
        """Reject no request."""

    async def handle(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> None:
        """Answer one request."""
        del received_at
        status, body = self._find_answer(call.path)
        await writer.start(status, [], len(body))
        await writer.write(body)
        await writer.finish()

    def _find_answer(self, path: str) -> tuple[int, bytes]:
        if path == self._listen.readiness_path:
            return (_READY if self._is_ready() else _NOT_READY), b""
        if path == self._listen.metrics_path:
            return _READY, self._render_metrics()
        return _NOT_FOUND, b""


class ReadinessServer:
    """Serves the readiness check and the metrics at their address."""

    def __init__(self, http_listener: listener.CallerListener) -> None:
        self._listener = http_listener

    def listen(self) -> None:
        """Listen; connections wait until `run` accepts them.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._listener.listen()

    async def run(self) -> None:
        """Serve until cancelled; after a fault anew."""
        await supervision.keep_running(
            "readiness", self._listener.run, _RESTART_DELAY_S
        )


def create_server(
    handler: ReadinessHandler, address: str, codec: ports.CallCodec
) -> ReadinessServer:
    """Return a server with few connections, apart from those of callers."""
    room = connection_limit.ListenerRoom(
        caller_budget.CallerBudget(_BUDGET_BYTES), _MAX_CONNECTIONS
    )
    return ReadinessServer(
        listener.CallerListener(address, lambda: _LIMITS, codec, handler, room)
    )
