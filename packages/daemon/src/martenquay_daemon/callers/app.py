"""ASGI app for callers: authentication, routing by path, health checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core import logs, results
from martenquay_core.util import serving
from martenquay_daemon.callers import chats, exchange, services
from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from martenquay_core.settings import models
    from martenquay_daemon.callers import teams
    from martenquay_daemon.util import metrics

__all__ = ["CallerApp", "Readiness"]

_LOG = logs.create_log("callers")
_CHAT_PATH = "/v1/chat/completions"


class Readiness:
    """State behind the readiness check of the load balancer.

    Attributes:
        is_started: The configuration has been read.
        is_stopping: A graceful stop has begun.
        in_progress: Number of requests that are being answered.
    """

    def __init__(self) -> None:
        self.is_started = False
        self.is_stopping = False
        self.in_progress = 0

    @property
    def is_ready(self) -> bool:
        """Whether the daemon accepts new callers."""
        return self.is_started and not self.is_stopping


class CallerApp:
    """Authenticates callers and passes their requests to the handlers."""

    def __init__(
        self,
        limits: models.LimitSettings,
        readiness: Readiness,
        known_teams: teams.TeamDirectory,
        chat_handler: chats.ChatHandler,
        service_handler: services.ServiceHandler,
        counters: metrics.DaemonMetrics,
    ) -> None:
        self._limits = limits
        self._budget = caller_budget.create_budget(limits.memory_mb)
        self._readiness = readiness
        self._teams = known_teams
        self._chats = chat_handler
        self._services = service_handler
        self._metrics = counters

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Serve as an ASGI app."""
        match scope["type"], scope.get("path"):
            case "lifespan", _:
                await serving.answer_lifespan(receive, send)
            case "http", "/healthz":
                await serving.send_answer(send, 200, b"alive\n")
            case "http", "/readyz":
                await self._send_readiness(send)
            case "http", "/metrics":
                await self._send_metrics(send)
            case "http", _:
                caller = exchange.Exchange(
                    scope,
                    receive,
                    send,
                    self._limits,
                    self._metrics,
                    self._budget,
                )
                await self._serve(caller)

    async def _send_readiness(self, send: serving.Send) -> None:
        ready = self._readiness.is_ready
        body = b"ready\n" if ready else b"not ready\n"
        await serving.send_answer(send, 200 if ready else 503, body)

    async def _send_metrics(self, send: serving.Send) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await serving.send_answer(send, 200, self._metrics.render(), headers)

    async def _serve(self, caller: exchange.Exchange) -> None:
        self._readiness.in_progress += 1
        try:
            await self._answer(caller)
        except serving.CallerGoneError:
            _LOG.write(
                f"The caller of request {caller.request_id} disconnected."
            )
        finally:
            caller.release()
            self._readiness.in_progress -= 1

    async def _answer(self, caller: exchange.Exchange) -> None:
        authorization = serving.find_header(caller.scope, b"authorization")
        team = self._teams.find(authorization)
        path = caller.scope["path"]
        if not self._readiness.is_started:
            await caller.fail(_create_starting_failure())
        elif team is None:
            code = results.ResultCode.BAD_CREDENTIAL
            message = "no team has this credential"
            await caller.fail(results.Failure(code, message))
        elif path.startswith(chats.TICKET_PREFIX):
            ticket = path.removeprefix(chats.TICKET_PREFIX)
            await self._chats.send_ticket(caller, team, ticket)
        elif path == _CHAT_PATH:
            await self._chats.serve(caller, team)
        elif path.startswith(services.SERVICE_PREFIX):
            await self._services.serve(caller, team)
        else:
            code = results.ResultCode.UNKNOWN_ROUTE
            await caller.fail(results.Failure(code, f"no {path}"))


def _create_starting_failure() -> results.Failure:
    code = results.ResultCode.NOT_RUN_STARTING
    return results.Failure(code, "the configuration is not read yet", 1.0)
