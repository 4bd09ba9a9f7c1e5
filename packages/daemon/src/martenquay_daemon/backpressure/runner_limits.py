"""Know the limits that runners in need name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import limit_words

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners, signals

__all__ = ["RunnerLimits"]

_LOG = logs.create_log("backpressure")


def _ignore(signal: str, source: str) -> None:
    del signal, source


class RunnerLimits:
    """Limits by runner id.

    Attributes:
        observe: Told the kind and the source of each change.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = _ignore
        self._words: dict[str, limit_words.LimitWord] = {}

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
        if told.is_limit_unreadable:
            _LOG.write(
                f"Runner {runner.id} names a limit that is no number.",
                runner=runner.id,
            )
            self.observe("limit-unreadable", "answer")
            return
        word = limit_words.LimitWord(
            told.limit_per_s, runner.born_ms, sent_at, trio.current_time()
        )
        known = self._words.get(runner.id)
        self._keep(
            runner.id, known, limit_words.fold_word(known, word), "answer"
        )

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner: its process is a new one."""
        self._words.pop(runner_id, None)

    def _keep(
        self,
        runner_id: str,
        known: limit_words.LimitWord | None,
        word: limit_words.LimitWord | None,
        source: str,
    ) -> None:
        if word is None:
            self._words.pop(runner_id, None)
            return
        self._words[runner_id] = word
        before = known.limit_per_s if known is not None else None
        if word.limit_per_s == before:
            return
        limit = word.limit_per_s
        text = "no limit any more" if limit is None else f"{limit:g} a second"
        _LOG.write(
            f"Runner {runner_id} takes {text} from all daemons together.",
            runner=runner_id,
            limit_per_s=limit,
            before=before,
            age_ms=round((trio.current_time() - word.heard_at) * 1000),
            source=source,
        )
        self.observe("limit" if limit is not None else "limit-over", source)
