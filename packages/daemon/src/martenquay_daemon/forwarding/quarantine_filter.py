"""Quarantine check before each attempt, and crash reports after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.forwarding import exchange
from martenquay_daemon.quarantine import contents, evidence, records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import runners
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.quarantine import manager

__all__ = ["QuarantineFilter"]


class QuarantineFilter:
    """Rejects requests whose content crashes runners, and reports crashes."""

    def __init__(
        self,
        quarantine: manager.QuarantineManager,
        directory: runner_directory.RunnerDirectory,
        has_ended: Callable[[str], Awaitable[bool]] = evidence.has_ended,
    ) -> None:
        self._quarantine = quarantine
        self._directory = directory
        self._has_ended = has_ended

    def find_quarantine_s(self, current: exchange.Exchange) -> float | None:
        """Return how long the content stays in quarantine, in seconds.

        None if the request may be sent. Stores the number of the latest known
        crash in the exchange, for a later crash report.
        """
        if self._quarantine.is_empty:
            return None
        digest = _find_digest(current)
        current.latest_crash_seen = self._quarantine.find_latest(digest)
        return self._quarantine.find_quarantine_s(digest)

    async def note_result(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        result: exchange.AttemptResult,
    ) -> None:
        """Report a crash, or clear the content's crash records on an answer."""
        current.has_runner_ended = False
        match result:
            case exchange.Delivered() | exchange.Whole():
                if current.latest_crash_seen:
                    self._quarantine.note_answer(_find_digest(current))
            case exchange.Broken():
                await self._note_broken(current, runner)

    async def _note_broken(
        self, current: exchange.Exchange, runner: runners.Runner
    ) -> None:
        # Computed here so that the log line of the attempt includes it.
        digest = _find_digest(current)
        current.has_runner_ended = await self._has_ended(runner.address)
        # A draining runner ends as planned, which is no crash.
        entry = self._directory.find(runner.id)
        if not current.has_runner_ended or entry is None:
            return
        if self._directory.is_leaving(entry):
            return
        crash = records.CrashDetails(current.service, current.route.name)
        self._quarantine.note_crash(
            digest, current.latest_crash_seen, runner.id, crash
        )


def _find_digest(current: exchange.Exchange) -> str:
    if not current.content_digest:
        current.content_digest = contents.digest_content(
            current.call, current.team
        )
    return current.content_digest
