"""Bind a stream that a caller resumes to the version that began it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import calls
from martenquay_daemon.forwarding import own_answers
from martenquay_daemon.origins import finder

if TYPE_CHECKING:
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.forwarding import answers, exchange, metrics
    from martenquay_daemon.origins import records

__all__ = ["StreamResumption"]

_LOG = logs.create_log("forwarding")
# Above the interval at which daemons write origins to the log.
_MAX_WAIT_S = 0.8
_MAX_WAIT_FRACTION = 0.25
_MS = 1000


class StreamResumption:
    """Looks up the origin of each stream that a caller resumes.

    What two versions write does not fit together, and runners do not check it.
    """

    def __init__(
        self,
        origins: finder.OriginFinder,
        directory: runner_directory.RunnerDirectory,
        counts: metrics.ForwardingMetrics,
    ) -> None:
        self._origins = origins
        self._directory = directory
        self._metrics = counts

    async def bind(
        self, current: exchange.Exchange
    ) -> answers.OwnAnswer | None:
        """Set the version of a resumed stream, or return why it cannot go on.

        Args:
            current: The request; its service and version are updated.
        """
        call = current.call
        if not current.is_resuming:
            return None
        left_s = max(0.0, current.deadline - trio.current_time())
        found = await self._origins.find(
            calls.shorten_id(call.resumed_id),
            current.service,
            min(_MAX_WAIT_S, _MAX_WAIT_FRACTION * left_s),
        )
        outcome, refusal = self._apply(current, found)
        self._metrics.count_resumed_stream(current.service, outcome)
        self._log_lookup(current, found, outcome)
        return refusal

    def _apply(
        self, current: exchange.Exchange, found: finder.Origin
    ) -> tuple[str, answers.OwnAnswer | None]:
        """Return the outcome of a lookup, and why the stream cannot go on."""
        match found:
            case finder.OnlyVersion(software=software):
                # Others may join while the request waits for quota.
                current.software = software
                return "any", None
            case finder.Begun(origin=origin):
                return self._bind_to_version(current, origin)
            case finder.UnknownVersion(is_log_read=is_log_read):
                return "unknown", own_answers.describe_unknown_version(
                    is_log_read=is_log_read
                )

    def _bind_to_version(
        self, current: exchange.Exchange, origin: records.StreamOrigin
    ) -> tuple[str, answers.OwnAnswer | None]:
        services = {one.service for one in current.route.destinations}
        if origin.service in services:
            current.service = origin.service
        current.software = origin.software
        usable = self._directory.list_usable(current.service)
        if any(runner.software == origin.software for runner in usable):
            return "bound", None
        return "gone", own_answers.describe_lost_version(
            current.service, origin.software
        )

    def _log_lookup(
        self, current: exchange.Exchange, found: finder.Origin, outcome: str
    ) -> None:
        known = collections.Counter(
            runner.software
            for runner in self._directory.list_usable(current.service)
        )
        _LOG.write(
            f"Looked up the version of a resumed stream: {outcome}.",
            request=current.call.id,
            resumed_request=current.call.resumed_id or None,
            service=current.service,
            software=current.software,
            usable=dict(known),
            is_log_read=getattr(found, "is_log_read", None),
            waited_ms=round(
                (trio.current_time() - current.received_at) * _MS, 1
            ),
        )
