"""Ask, before each request, whether a runner has said that it takes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from martenquay_core.serving import runners, signals
    from martenquay_daemon.backpressure import leaving_words, runner_limits

__all__ = ["RunnerGate"]


class RunnerGate:
    """What runners say of themselves, for all that sends to them.

    A runner's own word is no guess: unlike one that failed, a runner that says
    what it takes gets no more when nobody else is left.
    """

    def __init__(
        self,
        limits: runner_limits.RunnerLimits,
        leaving: leaving_words.LeavingWords,
    ) -> None:
        self._limits = limits
        self._leaving = leaving

    def note_answer(
        self,
        runner: runners.Runner,
        told: signals.RunnerSignals,
        sent_at: float,
    ) -> None:
        """Take what an answer of a runner says.

        Args:
            runner: The runner, as it was when the request was sent.
            told: What the answer says.
            sent_at: When the request was sent, in trio's time.
        """
        self._limits.note_answer(runner, told, sent_at)
        if told.is_leaving:
            self._leaving.note_answer(runner)

    def keep_open(
        self, found: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that take a request of this daemon now."""
        return [
            runner
            for runner in found
            if not self._leaving.holds(runner)
            and self._limits.find_wait_s(runner) <= 0.0
        ]

    def is_whole(self, runner: runners.Runner) -> bool:
        """Tell whether a runner takes as much as any other."""
        return not self._limits.is_limited(runner)

    def take_turn(self, runner: runners.Runner) -> str:
        """Return why a request must not be sent now, or nothing.

        Asked right before it is sent: what the runner has said may be younger
        than the choice. A turn that is taken is used up.
        """
        if self._leaving.holds(runner):
            return "the runner says that it leaves"
        if not self._limits.take_turn(runner):
            return "over the limit that the runner names"
        return ""

    def find_retry_s(self, found: Iterable[runners.Runner]) -> float | None:
        """Return when one of the runners takes a request; None if none does.

        A caller that comes back may come to any daemon, so what counts is when
        the next request may be sent from wherever.
        """
        return min(
            (
                self._limits.find_next_s(runner)
                for runner in found
                if not self._leaving.holds(runner)
            ),
            default=None,
        )

    def forget(self, runner_id: str) -> None:
        """Drop what a runner has said: its process is a new one."""
        self._limits.forget(runner_id)
