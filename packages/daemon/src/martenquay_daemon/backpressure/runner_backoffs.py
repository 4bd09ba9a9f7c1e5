"""Leave runners alone for as long as they have asked this daemon to."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import observers

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners

__all__ = ["RunnerBackoffs"]

_LOG = logs.create_log("backpressure")
# After its rest a runner gets one request, and the next one when that is
# answered or after this time: all that waited would be turned away at once.
_TRIAL_S = 0.5
# Of so many runners, those that rest longest; each takes 250 bytes.
_MOST_RUNNERS = 4000


@dataclasses.dataclass
class _Rest:
    """One runner's rest.

    Attributes:
        born_ms: As in the entry of the process that asked for it.
        until: Its end, in trio's time.
        tried_at: When a request was sent there after it.
    """

    born_ms: int | None
    until: float
    tried_at: float = -math.inf


class RunnerBackoffs:
    """Rests by runner id; they are this daemon's alone.

    Attributes:
        observe: Told the kind and the source of each rest that begins.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_change
        self._rests: dict[str, _Rest] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners of which something is known."""
        return set(self._rests)

    def note_refusal(self, runner: runners.Runner, rest_s: float) -> None:
        """Note that a runner has turned a request away and asks for rest."""
        until = trio.current_time() + rest_s
        rest = self._find(runner)
        if rest is None:
            self._make_room()
            rest = self._rests[runner.id] = _Rest(runner.born_ms, until)
            _LOG.write(
                f"Runner {runner.id} wants nothing for {rest_s:g} s.",
                runner=runner.id,
                rest_s=rest_s,
            )
            self.observe("rest", "answer")
        # An answer that comes late does not cut the time of another one short.
        rest.until = max(rest.until, until)

    def note_answer(self, runner: runners.Runner, sent_at: float) -> None:
        """Note that a runner has taken a request that was sent then."""
        rest = self._find(runner)
        if rest is not None and sent_at >= rest.until:
            del self._rests[runner.id]

    def find_wait_s(self, runner: runners.Runner) -> float:
        """Return for how long a runner gets nothing; 0 if it may now."""
        rest = self._find(runner)
        if rest is None:
            return 0.0
        free_at = max(rest.until, rest.tried_at + _TRIAL_S)
        return max(0.0, free_at - trio.current_time())

    def note_sent(self, runner: runners.Runner) -> None:
        """Note that a request goes to a runner now."""
        rest = self._find(runner)
        if rest is not None:
            rest.tried_at = trio.current_time()

    def forget(self, runner_id: str) -> None:
        """Drop what a runner has asked for: its process is a new one."""
        self._rests.pop(runner_id, None)

    def _find(self, runner: runners.Runner) -> _Rest | None:
        rest = self._rests.get(runner.id)
        if rest is None:
            return None
        is_other = None not in {rest.born_ms, runner.born_ms} and (
            rest.born_ms != runner.born_ms
        )
        return None if is_other else rest

    def _make_room(self) -> None:
        if len(self._rests) < _MOST_RUNNERS:
            return
        del self._rests[
            min(self._rests, key=lambda one: self._rests[one].until)
        ]
