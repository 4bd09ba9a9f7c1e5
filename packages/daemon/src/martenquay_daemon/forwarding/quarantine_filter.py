"""Quarantine check before each attempt, and crash reports after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core import logs
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.quarantine import contents, evidence, records, verdicts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import runners
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.quarantine import manager

__all__ = ["QuarantineFilter"]

_LOG = logs.create_log("quarantine")
# A part that crashes runners does so as they begin to write; with as many
# events the answer has begun.
_BEGUN_EVENTS = 3
_MIN_FAILURE_STATUS = 300


class QuarantineFilter:
    """Rejects requests whose content crashes runners, and reports crashes.

    The contents of a request are the request as a whole and the shared parts
    of its prompt.
    """

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
        """Return how long the request must not be sent, in seconds.

        None if it may be sent. Stores the number of the latest known crash of
        each content in the exchange, for a later crash report.
        """
        if self._quarantine.is_empty:
            return None
        found = (_find_digest(current), *_find_parts(current))
        current.crashes_seen = {
            content: self._quarantine.find_latest(content) for content in found
        }
        match self._quarantine.judge(found):
            case verdicts.Refused(content=content, hold_s=hold_s):
                _LOG.write(
                    f"Content {content} is in quarantine.",
                    request=current.call.id,
                    content=content,
                    kept_out_s=round(hold_s),
                )
                return hold_s
            case verdicts.Suspect() as suspect:
                return self._find_probe_wait_s(current, suspect)
            case _:
                return None

    def note_events(
        self, current: exchange.Exchange, *, is_whole: bool
    ) -> None:
        """Clear the request's parts once its answer has begun.

        Args:
            current: The request.
            is_whole: Whether the answer has ended, with however few events.
        """
        has_begun = is_whole or current.attempt_events >= _BEGUN_EVENTS
        if current.is_answering or not has_begun:
            return
        current.is_answering = True
        self._clear_parts(current)

    async def note_result(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        result: exchange.AttemptResult,
    ) -> None:
        """Report a crash, or clear crash records on an answer."""
        current.has_runner_ended = False
        match result:
            case exchange.Delivered():
                self._clear_content(current)
            case exchange.Whole(head=head):
                # Even a failure shows that the runner has not crashed, but
                # not that it has written an answer to the prompt.
                self._clear_content(current)
                if head.status < _MIN_FAILURE_STATUS:
                    self._clear_parts(current)
            case exchange.Broken():
                await self._note_broken(current, runner)

    def _find_probe_wait_s(
        self, current: exchange.Exchange, suspect: verdicts.Suspect
    ) -> float | None:
        """Return how long a suspect must wait; None if it is sent now."""
        if current.is_probe and not current.attempts:
            return None
        current.is_probe = self._quarantine.try_probe(suspect)
        if current.is_probe:
            _LOG.write(
                "Sending a request although its parts may crash runners.",
                request=current.call.id,
                contents=list(suspect.contents),
            )
            return None
        return verdicts.PROBE_INTERVAL_S

    def _clear_content(self, current: exchange.Exchange) -> None:
        digest = current.content_digest
        if current.crashes_seen.get(digest):
            self._quarantine.note_answer(digest)

    def _clear_parts(self, current: exchange.Exchange) -> None:
        parts = _find_parts(current)
        self._quarantine.answered.note(parts)
        for part in parts:
            # Also of crashes since the request was sent: a part that crashes
            # runners is never answered.
            self._quarantine.note_answer(part)

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
        for content in (digest, *self._list_blamed_parts(current)):
            latest = current.crashes_seen.get(content, 0)
            self._quarantine.note_crash(content, latest, runner.id, crash)

    def _list_blamed_parts(self, current: exchange.Exchange) -> list[str]:
        if current.attempt_events >= _BEGUN_EVENTS:
            return []
        answered = self._quarantine.answered
        return [one for one in _find_parts(current) if not answered.has(one)]


def _find_digest(current: exchange.Exchange) -> str:
    if not current.content_digest:
        current.content_digest = contents.digest_content(
            current.call, current.team
        )
    return current.content_digest


def _find_parts(current: exchange.Exchange) -> tuple[str, ...]:
    if current.part_digests is None:
        current.part_digests = contents.digest_parts(
            current.call, current.service
        )
    return current.part_digests
