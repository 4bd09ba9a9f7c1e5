"""Tell other daemons of the limits that runners name, and hear of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.backpressure import limit_words
from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    from martenquay_daemon.backpressure import runner_limits

__all__ = ["LimitNews", "write_words"]

_MS = 1000


class LimitNews:
    """Limits as daemons tell them to each other.

    A daemon tells what runners told it; a hub tells all that it knows, for
    its zone and the other zones hear of each other through hubs alone.
    """

    def __init__(self, limits: runner_limits.RunnerLimits) -> None:
        self._limits = limits

    def take(self, lines: dict[str, messages.LimitLine]) -> None:
        """Take what another daemon tells."""
        if lines:
            self._limits.take_told(_read_words(lines))

    def relay(self) -> dict[str, messages.LimitLine]:
        """Return what a hub tells, as old as it is now."""
        return write_words(self._limits.list_heard(is_relayed=True))


def write_words(
    words: list[tuple[str, limit_words.LimitWord]],
) -> dict[str, messages.LimitLine]:
    """Return lines for words, by runner id."""
    now = trio.current_time()
    return {
        runner_id: messages.LimitLine(
            word.limit_per_s,
            word.born_ms,
            round((now - word.sent_at) * _MS),
            round((now - word.heard_at) * _MS),
        )
        for runner_id, word in words
    }


def _read_words(
    lines: dict[str, messages.LimitLine],
) -> list[tuple[str, limit_words.LimitWord]]:
    now = trio.current_time()
    return [
        (
            runner_id,
            limit_words.LimitWord(
                line.limit,
                line.born_ms,
                # Nobody hears of what is still to come.
                now - max(0, line.sent_ms) / _MS,
                now - max(0, line.heard_ms) / _MS,
            ),
        )
        for runner_id, line in lines.items()
    ]
