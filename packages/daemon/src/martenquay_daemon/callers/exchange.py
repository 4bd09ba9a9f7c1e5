"""One HTTP request of a caller with its id, body and final answer."""

from __future__ import annotations

import re
import secrets
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.util import serving
from martenquay_daemon.callers import replies
from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.settings import models
    from martenquay_daemon.callers import route_directory
    from martenquay_daemon.util import metrics

__all__ = ["ID_PATTERN", "Exchange"]

_LOG = logs.create_log("callers")
# Another daemon may have room.
_NO_ROOM_RETRY_AFTER_S = 0.25
ID_PATTERN = re.compile(r"^[A-Za-z0-9_.:-]{1,128}$")


class Exchange:
    """An HTTP request and the means to answer it.

    Attributes:
        scope: The ASGI scope.
        send: The ASGI send callable.
        key: The caller's idempotency key, or None.
        request_id: The caller's request id if it is valid, else a new one.
    """

    def __init__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
        limits: models.LimitSettings,
        counters: metrics.DaemonMetrics,
        budget: caller_budget.CallerBudget,
    ) -> None:
        self.scope = scope
        self.send = send
        self.key = serving.find_header(scope, b"idempotency-key")
        caller_id = serving.find_header(scope, b"x-request-id") or ""
        is_valid = ID_PATTERN.match(caller_id) is not None
        self.request_id = (
            caller_id if is_valid else f"req-{secrets.token_hex(8)}"
        )
        self._receive = receive
        self._limits = limits
        self._metrics = counters
        self._budget = budget
        self._body_scope = trio.CancelScope()
        self._holding = caller_budget.Holding(self._body_scope.cancel)

    def release(self) -> None:
        """Give back the memory that the request held."""
        self._budget.resize(self._holding, 0)

    async def read_body(self) -> Result[bytes, results.Failure]:
        """Return the whole body, or why it was not read."""
        self._holding.since = trio.current_time()
        self._holding.is_refusable = True
        with self._body_scope:
            body = await self._read_body()
            self._holding.is_refusable = False
            return body
        code = results.ResultCode.NOT_RUN_OVERLOADED
        message = "the room for callers' requests is in use"
        return Error(results.Failure(code, message, _NO_ROOM_RETRY_AFTER_S))

    async def _read_body(self) -> Result[bytes, results.Failure]:
        def note_size(size: int) -> None:
            if not self._budget.resize(self._holding, size):
                self._body_scope.cancel()

        try:
            body = await serving.read_body(
                self._receive,
                limit=self._limits.body_bytes,
                timeout_s=self._limits.body_timeout_s,
                note_size=note_size,
            )
        except serving.BodyTooLargeError as error:
            code = results.ResultCode.BODY_TOO_LARGE
            message = f"the body is over {error.limit} bytes"
            return Error(results.Failure(code, message))
        except trio.TooSlowError:
            code = results.ResultCode.SLOW_CALLER
            message = f"no whole body in {self._limits.body_timeout_s:g} s"
            return Error(results.Failure(code, message))
        return Ok(body)

    async def run_while_connected(
        self, work: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Await `work(*args)`, cancelling it if the caller disconnects.

        Raises:
            serving.CallerGoneError: The caller disconnected.
        """
        has_left = False

        async def watch() -> None:
            nonlocal has_left
            while (await self._receive())["type"] != "http.disconnect":
                pass
            has_left = True
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await work(*args)
            nursery.cancel_scope.cancel()
        if has_left:
            raise serving.CallerGoneError

    async def fail(
        self,
        failure: results.Failure,
        team_route: route_directory.TeamRoute | None = None,
    ) -> None:
        """Send a failure as the final answer."""
        self.count(failure.code, team_route)
        _LOG.write(
            f"Request {self.request_id} failed: {failure.message}.",
            request=self.request_id,
            code=failure.code.value,
        )
        await replies.send_failure(self.send, self.request_id, failure)

    def count(
        self,
        code: results.ResultCode,
        team_route: route_directory.TeamRoute | None,
    ) -> None:
        """Count the answer by route, urgency and result."""
        self._metrics.requests.inc(
            {
                "route": team_route.name if team_route else "",
                "urgency": team_route.urgency.value if team_route else "",
                "code": str(code.value),
            }
        )
