"""Keep requests from runners if their digest has crashed others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_daemon.forwarding import exchange
from martenquay_daemon.quarantine import contents, evidence, records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import runners
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.quarantine import manager

__all__ = ["ContentGuard"]


class ContentGuard:
    """Ask the quarantine before each attempt, and tell it what came of it."""

    def __init__(
        self,
        quarantine: manager.QuarantineManager,
        directory: runner_directory.RunnerDirectory,
        has_ended: Callable[[str], Awaitable[bool]] = evidence.has_ended,
    ) -> None:
        self._quarantine = quarantine
        self._directory = directory
        self._has_ended = has_ended

    def find_hold(self, current: exchange.Exchange) -> float | None:
        """Return for how long the request is kept out; None if it is not."""
        if self._quarantine.is_empty:
            return None
        digest = _find_digest(current)
        current.latest_crash_seen = self._quarantine.find_latest(digest)
        return self._quarantine.find_hold(digest)

    async def note_result(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        result: exchange.AttemptResult,
    ) -> None:
        """Learn from an attempt at a runner."""
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
        # Named here, so that each line of a broken attempt has it.
        digest = _find_digest(current)
        current.has_runner_ended = await self._has_ended(runner.address)
        # One that said that it leaves has ended as it was to.
        entry = self._directory.find(runner.id)
        if not current.has_runner_ended or entry is None:
            return
        if self._directory.is_leaving(entry):
            return
        crash = records.Crash(current.service, current.route.name)
        self._quarantine.note_crash(
            digest, current.latest_crash_seen, runner.id, crash
        )


def _find_digest(current: exchange.Exchange) -> str:
    if not current.content_digest:
        current.content_digest = contents.digest_content(
            current.call, current.team
        )
    return current.content_digest
