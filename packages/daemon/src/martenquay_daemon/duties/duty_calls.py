"""Tie the duties' calls to the platform to the lease that permits them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from expression import Result

    from martenquay_core.platform import outcome
    from martenquay_core.serving import ports
    from martenquay_daemon.duties import lease

__all__ = ["LeasedCloud"]


class LeasedCloud:
    """A `ports.CloudPort` whose calls end before the lease is released."""

    def __init__(self, cloud: ports.CloudPort, duty_lease: lease.Lease) -> None:
        self._cloud = cloud
        self._lease = duty_lease
        self.set_address = cloud.set_address

    async def report_usage(
        self, report: ports.UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Report a window's usage; return the HTTP status of the answer."""
        with self._lease.track_call():
            return await self._cloud.report_usage(report, holder, fence)

    async def order_runners(
        self, order: ports.DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Order runners; return the HTTP status of the answer."""
        with self._lease.track_call():
            return await self._cloud.order_runners(order, holder, fence)
