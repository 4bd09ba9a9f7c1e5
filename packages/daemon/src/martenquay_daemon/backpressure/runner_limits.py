"""Keep the limits that runners in need name, over all daemons together."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import (
    limit_reports,
    observers,
    send_shares,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import runners, signals

__all__ = ["RunnerLimits"]

_LOG = logs.create_log("backpressure")
# A word that nobody has confirmed for so long is dropped; so is the end of a
# limit, which only has to outlast the answers that it overtook.
_FORGET_S = 600.0
_FORGET_END_S = 30.0
# Of so many runners words are kept, the newest; each takes half a KB.
_MOST_RUNNERS = 2000
# Others are told what was heard lately, of so many runners at the most: 1 KB.
_TELL_S = 5.0
_MOST_TOLD = 32


@dataclasses.dataclass
class _Known:
    """What is known of one runner's limit.

    Attributes:
        word: The newest word.
        is_own: An answer to this daemon said so, not another daemon.
        since: Since when this daemon goes by a limit, in trio's time.
        sent_at: When it last sent a request there.
        over_since: Since when it goes by the end of a limit, in trio's time.
    """

    word: limit_reports.LimitReport
    is_own: bool
    since: float = -math.inf
    sent_at: float = -math.inf
    over_since: float = -math.inf


class RunnerLimits:
    """Limits by runner id.

    Attributes:
        observe: Told the kind and the source of each change.
        notify_soon: Has other daemons told of a change soon.
    """

    def __init__(
        self,
        find_place: Callable[[runners.Runner], send_shares.SenderRank],
        find_share: Callable[
            [float, send_shares.SenderRank], send_shares.Share
        ] = send_shares.find_share,
    ) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_change
        self.notify_soon: Callable[[], None] = observers.ignore_notification
        self._find_place = find_place
        self._find_share = find_share
        self._known: dict[str, _Known] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners of which something is known."""
        return set(self._known)

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
        if told.limit_per_s is None and self._renew_end(runner, sent_at):
            return
        word = limit_reports.LimitReport(
            told.limit_per_s, runner.born_ms, sent_at, trio.current_time()
        )
        known = self._find_word(runner.id)
        folded = limit_reports.merge_report(known, word)
        if self._keep(runner.id, known, folded, is_own=True):
            self.notify_soon()

    def apply_gossip(
        self, words: Iterable[tuple[str, limit_reports.LimitReport]]
    ) -> None:
        """Take what other daemons were told, by runner id."""
        for runner_id, word in words:
            known = self._find_word(runner_id)
            folded = limit_reports.merge_gossiped_report(known, word)
            if folded is not known:
                self._keep(runner_id, known, folded, is_own=False)

    def list_recent_reports(
        self, *, is_relayed: bool
    ) -> list[tuple[str, limit_reports.LimitReport]]:
        """Return what was heard lately, the newest first.

        Args:
            is_relayed: What other daemons have told as well.
        """
        oldest = trio.current_time() - _TELL_S
        found = [
            (runner_id, known.word)
            for runner_id, known in self._known.items()
            if known.word.heard_at > oldest and (known.is_own or is_relayed)
        ]
        found.sort(key=lambda one: one[1].heard_at, reverse=True)
        return found[:_MOST_TOLD]

    def find_limit(self, runner: runners.Runner) -> float | None:
        """Return the requests a second that a runner takes, if it says so."""
        known = self._find_limited(runner)
        return None if known is None else known.word.limit_per_s

    def is_limited(self, runner: runners.Runner) -> bool:
        """Tell whether a runner takes less than usual."""
        return self._find_limited(runner) is not None

    def find_wait_s(self, runner: runners.Runner) -> float:
        """Return how long this daemon has to wait to send; 0 if not at all."""
        known = self._find_limited(runner)
        if known is None:
            return 0.0
        limit = known.word.limit_per_s
        assert limit is not None, "it is under a limit"
        match self._find_share(limit, self._find_place(runner)):
            case send_shares.HolderSchedule() as pace:
                return _wait_for_pace(known, pace)
            case send_shares.ProbeSlot() as slot:
                return _wait_for_slot(known, slot)

    def find_next_s(self, runner: runners.Runner) -> float:
        """Return how long until any daemon may send, as far as known."""
        known = self._find_limited(runner)
        if known is None:
            return 0.0
        limit = known.word.limit_per_s
        assert limit is not None, "it is under a limit"
        anywhere_s = send_shares.find_pace_s(limit)
        return min(self.find_wait_s(runner), anywhere_s)

    def note_sent(self, runner: runners.Runner) -> None:
        """Note that a request goes to a runner now, which uses a turn up."""
        known = self._find_limited(runner)
        if known is not None:
            known.sent_at = trio.current_time()

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner: its process is a new one."""
        self._known.pop(runner_id, None)

    def _find_limited(self, runner: runners.Runner) -> _Known | None:
        """Return what is known of a runner if it is under a limit."""
        known = self._known.get(runner.id)
        if known is None or known.word.limit_per_s is None:
            return None
        if trio.current_time() > known.word.heard_at + _FORGET_S:
            return None
        born = known.word.born_ms
        if None not in {born, runner.born_ms} and born != runner.born_ms:
            return None
        return known

    def _renew_end(self, runner: runners.Runner, sent_at: float) -> bool:
        """Tell whether an answer without a limit says nothing but that.

        For a while it makes the end of a limit younger: to daemons that heard
        of the limit late, the first word of its end may seem the older one.
        """
        known = self._known.get(runner.id)
        if known is None:
            return True
        if known.word.limit_per_s is not None:
            return False
        now = trio.current_time()
        if known.word.heard_at < now - _FORGET_END_S:
            del self._known[runner.id]
        elif now < known.over_since + _TELL_S:
            word = limit_reports.LimitReport(None, runner.born_ms, sent_at, now)
            known.word = limit_reports.choose_later_end(known.word, word)
            known.is_own = True
        return True

    def _find_word(self, runner_id: str) -> limit_reports.LimitReport | None:
        known = self._known.get(runner_id)
        return None if known is None else known.word

    def _keep(
        self,
        runner_id: str,
        before: limit_reports.LimitReport | None,
        word: limit_reports.LimitReport | None,
        *,
        is_own: bool,
    ) -> bool:
        """Keep a word; tell whether the limit has changed by it."""
        if word is None:
            self._known.pop(runner_id, None)
            return False
        known = self._known.get(runner_id)
        if known is None:
            self._make_room()
            known = self._known[runner_id] = _Known(word, is_own)
        known.word = word
        known.is_own = is_own
        old = None if before is None else before.limit_per_s
        if word.limit_per_s == old:
            return False
        if old is None:
            known.since = trio.current_time()
        if word.limit_per_s is None:
            known.over_since = trio.current_time()
        self._note_change(runner_id, old, word, is_own=is_own)
        return True

    def _note_change(
        self,
        runner_id: str,
        old: float | None,
        word: limit_reports.LimitReport,
        *,
        is_own: bool,
    ) -> None:
        limit = word.limit_per_s
        source = "answer" if is_own else "daemon"
        text = "no limit any more" if limit is None else f"{limit:g} a second"
        _LOG.write(
            f"Runner {runner_id} takes {text} from all daemons together.",
            runner=runner_id,
            limit_per_s=limit,
            before=old,
            age_ms=round((trio.current_time() - word.heard_at) * 1000),
            source=source,
        )
        self.observe("limit" if limit is not None else "limit-over", source)

    def _make_room(self) -> None:
        now = trio.current_time()
        for runner_id, known in list(self._known.items()):
            is_over = known.word.limit_per_s is None
            kept_s = _FORGET_END_S if is_over else _FORGET_S
            if now > known.word.heard_at + kept_s:
                del self._known[runner_id]
        while len(self._known) >= _MOST_RUNNERS:
            oldest = min(
                self._known, key=lambda one: self._known[one].word.heard_at
            )
            del self._known[oldest]


def _wait_for_pace(known: _Known, pace: send_shares.HolderSchedule) -> float:
    due_at = max(known.since + pace.first_s, known.sent_at + pace.interval_s)
    return max(0.0, due_at - trio.current_time())


def _wait_for_slot(known: _Known, slot: send_shares.ProbeSlot) -> float:
    now = trio.current_time()
    past_s = now - known.word.heard_at - slot.first_s
    if past_s < 0:
        return -past_s
    within_s = past_s % slot.period_s
    is_unused = known.sent_at < now - within_s
    if within_s < slot.length_s and is_unused:
        return 0.0
    return slot.period_s - within_s
