"""In-memory cloud port that records usage reports and runner orders."""

from __future__ import annotations

import dataclasses

import trio
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import ports

__all__ = ["MemoryCloud", "ReceivedCall"]

_OK = 200
_REFUSED = 409


@dataclasses.dataclass(frozen=True)
class ReceivedCall:
    """One call of the cloud port.

    Attributes:
        content: The report or order.
        holder: The lease holder that called.
        fence: The fencing token of the call.
    """

    content: ports.UsageReport | ports.DesiredRunners
    holder: str
    fence: int


class MemoryCloud:
    """Implementation of `ports.CloudPort` in memory.

    Attributes:
        received: All calls, in order.
        is_lossy: Calls are recorded and fail with an unknown effect.
        has_reclaimable: Reclaimable runners are available.
        answer_s: Delay of each call, in seconds.
        under_way: Number of calls that have not been answered.
    """

    def __init__(self) -> None:
        self.received: list[ReceivedCall] = []
        self.is_lossy = False
        self.has_reclaimable = True
        self.answer_s = 0.0
        self.under_way = 0

    def set_address(self, address: str) -> None:
        """Do nothing: there is one address only."""

    async def report_usage(
        self, report: ports.UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Record a usage report."""
        return await self._record_call(ReceivedCall(report, holder, fence), _OK)

    async def order_runners(
        self, order: ports.DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Record an order; 409 for reclaimable runners if there are none."""
        refused = order.is_reclaimable and not self.has_reclaimable
        status = _REFUSED if refused else _OK
        return await self._record_call(
            ReceivedCall(order, holder, fence), status
        )

    def list_reports(self) -> list[ports.UsageReport]:
        """Return the recorded reports in order."""
        return [
            call.content
            for call in self.received
            if isinstance(call.content, ports.UsageReport)
        ]

    def list_orders(self) -> list[ports.DesiredRunners]:
        """Return the recorded orders in order."""
        return [
            call.content
            for call in self.received
            if isinstance(call.content, ports.DesiredRunners)
        ]

    async def _record_call(
        self, call: ReceivedCall, status: int
    ) -> Result[int, outcome.PlatformFailure]:
        self.under_way += 1
        try:
            await trio.sleep(self.answer_s)
        finally:
            self.under_way -= 1
        self.received.append(call)
        if self.is_lossy:
            return Error(
                outcome.PlatformFailure(outcome.Effect.UNKNOWN, "lost")
            )
        return Ok(status)
