"""Remember which runners have said in an answer that they leave.

A runner's entry says so too, but the log may be away when it begins to leave,
and an older entry may be read later. What a process has said of itself holds
for that process, whatever its entry says.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import observers

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners

__all__ = ["DrainReports"]

_LOG = logs.create_log("backpressure")
# Long after a runner that leaves has ended; its id may have another process
# then, which has its own start.
_FORGET_S = 3600.0
# Others are told for so long, by which time the log has the runner's entry or
# the runner has ended.
_TELL_S = 30.0
_MOST_TOLD = 32
# Of so many runners, the newest; each takes 200 bytes.
_MOST_RUNNERS = 4000


@dataclasses.dataclass(frozen=True)
class _Word:
    born_ms: int | None
    heard_at: float


class DrainReports:
    """Runners that leave, by id.

    Attributes:
        observe: Told the kind and the source of each word that is new.
        notify_soon: Has other daemons told soon.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_change
        self.notify_soon: Callable[[], None] = observers.ignore_notification
        self._words: dict[str, _Word] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners of which something is known."""
        return set(self._words)

    def note_answer(self, runner: runners.Runner) -> None:
        """Note that a runner has said so in an answer."""
        if self._keep(runner.id, runner.born_ms, "answer"):
            self.notify_soon()

    def apply_gossip(self, told: dict[str, int | None]) -> None:
        """Take what another daemon knows: starts of processes by runner id."""
        for runner_id, born_ms in told.items():
            self._keep(runner_id, born_ms, "daemon")

    def list_recent_reports(self) -> dict[str, int | None]:
        """Return what others are to be told, the newest first."""
        oldest = trio.current_time() - _TELL_S
        found = [
            (word.heard_at, runner_id, word.born_ms)
            for runner_id, word in self._words.items()
            if word.heard_at > oldest
        ]
        found.sort(key=lambda one: one[0], reverse=True)
        return {runner_id: born for _, runner_id, born in found[:_MOST_TOLD]}

    def holds(self, runner: runners.Runner) -> bool:
        """Tell whether this process of a runner has said that it leaves."""
        word = self._words.get(runner.id)
        if word is None:
            return False
        if word.born_ms is None or runner.born_ms is None:
            return True
        return word.born_ms >= runner.born_ms

    def _keep(self, runner_id: str, born_ms: int | None, source: str) -> bool:
        """Keep a word; tell whether it is new."""
        known = self._words.get(runner_id)
        if known is not None and not _is_later(born_ms, known.born_ms):
            return False
        self._make_room()
        self._words[runner_id] = _Word(born_ms, trio.current_time())
        _LOG.write(
            f"Runner {runner_id} says that it leaves.",
            runner=runner_id,
            born_ms=born_ms,
            source=source,
        )
        self.observe("leaving", source)
        return True

    def _make_room(self) -> None:
        oldest = trio.current_time() - _FORGET_S
        for runner_id, word in list(self._words.items()):
            if word.heard_at < oldest or len(self._words) >= _MOST_RUNNERS:
                del self._words[runner_id]


def _is_later(one: int | None, other: int | None) -> bool:
    return one is not None and other is not None and one > other
