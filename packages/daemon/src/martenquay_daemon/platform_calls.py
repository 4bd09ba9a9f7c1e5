"""Count the calls to the platform's log and cloud API by kind."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from martenquay_core.platform import outcome
    from martenquay_core.serving import ports as port_types
    from martenquay_daemon import gateway_ports

__all__ = ["CountedCloud", "CountedLog", "count_calls"]

_REFUSED_STATUS = 400
Answer = TypeVar("Answer")


class CountedLog:
    """A `ports.LogPort` that counts each call by kind, topic and outcome.

    A repetition on a new connection and further pages of one read are part of
    the call.
    """

    def __init__(
        self, log: port_types.LogPort, count: Callable[[str, str, str], None]
    ) -> None:
        """Create the wrapper.

        Args:
            log: The port to call.
            count: Called with the kind, topic and outcome of each call.
        """
        self._log = log
        self._count = count
        self.set_address = log.set_address
        self.split_keyed = log.split_keyed
        self.join_keyed = log.join_keyed

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[port_types.Page, outcome.PlatformFailure]:
        """Return records from `start` on; wait up to `wait_s` for the first."""
        page = await self._log.read(topic, start, wait_s=wait_s)
        is_empty = page.is_ok() and not page.ok.records
        self._count(
            "read", topic, "empty" if is_empty else _describe_result(page)
        )
        return page

    async def read_newest(
        self, topic: str
    ) -> Result[port_types.Snapshot, outcome.PlatformFailure]:
        """Return the newest record of each key of a keyed topic."""
        snapshot = await self._log.read_newest(topic)
        self._count("read_newest", topic, _describe_result(snapshot))
        return snapshot

    async def append(
        self,
        topic: str,
        payloads: list[bytes],
        *,
        expected_end: int | None = None,
    ) -> Result[port_types.Appended, outcome.PlatformFailure]:
        """Append atomically; if given, only while the end is `expected_end`."""
        written = await self._log.append(
            topic, payloads, expected_end=expected_end
        )
        is_refused = written.is_ok() and written.ok.offset is None
        self._count(
            "append",
            topic,
            "refused" if is_refused else _describe_result(written),
        )
        return written


class CountedCloud:
    """A `ports.CloudPort` that counts each call by kind and outcome."""

    def __init__(
        self,
        cloud: port_types.CloudPort,
        count: Callable[[str, str, str], None],
    ) -> None:
        """Create the wrapper.

        Args:
            cloud: The port to call.
            count: Called with the kind, an empty topic and the outcome of each
                call.
        """
        self._cloud = cloud
        self._count = count
        self.set_address = cloud.set_address

    async def report_usage(
        self, report: port_types.UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Report a window's usage; return the HTTP status of the answer."""
        status = await self._cloud.report_usage(report, holder, fence)
        self._count("report_usage", "", _describe_status(status))
        return status

    async def order_runners(
        self, order: port_types.DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Order runners; return the HTTP status of the answer."""
        status = await self._cloud.order_runners(order, holder, fence)
        self._count("order_runners", "", _describe_status(status))
        return status


def count_calls(
    ports: gateway_ports.GatewayPorts, count: Callable[[str, str, str], None]
) -> gateway_ports.GatewayPorts:
    """Return ports that count the calls to the log and the cloud API.

    Args:
        ports: The ports to call.
        count: Called with the kind, topic and outcome of each call.
    """
    cloud = ports.cloud
    return dataclasses.replace(
        ports,
        log=CountedLog(ports.log, count),
        cloud=None if cloud is None else CountedCloud(cloud, count),
    )


def _describe_result(answer: Result[Answer, outcome.PlatformFailure]) -> str:
    return "ok" if answer.is_ok() else "failed"


def _describe_status(status: Result[int, outcome.PlatformFailure]) -> str:
    if status.is_error():
        return "failed"
    return "refused" if status.ok >= _REFUSED_STATUS else "ok"
