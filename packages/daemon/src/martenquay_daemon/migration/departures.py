"""Find out whether and when a runner ends, from its entry and its answers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.discovery import runner_directory

__all__ = ["Departures"]

# Time from a reclaimed runner's notice to its end. It is assumed for a
# reclaimable runner that reported its drain in an answer, without a time.
_RECLAIM_S = 2.4
# Outlasts every drain; a later process with the same id has another start time.
_RETENTION_S = 600.0


@dataclasses.dataclass(frozen=True)
class _Departure:
    noticed_at: float
    ends_at: float
    is_assumed: bool = False


class Departures:
    """When runners end that this daemon relays streams from."""

    def __init__(
        self, directory: runner_directory.RunnerDirectory, drain_s: float
    ) -> None:
        """Create the object.

        Args:
            directory: The known runners.
            drain_s: Time for which a draining runner is sure to serve on.
        """
        self._directory = directory
        self._drain_s = drain_s
        self._known: dict[tuple[str, int | None], _Departure] = {}

    def find_time_left(self, runner: runners.Runner) -> float | None:
        """Return the seconds until a runner ends; None if it does not leave.

        Args:
            runner: The runner as it was when it got a request.
        """
        left_s = self._find_reported_time(runner)
        if left_s is None:
            return None
        now = trio.current_time()
        key = (runner.id, runner.born_ms)
        known = self._known.get(key)
        if known is None:
            self._evict_old(now)
            assumed_s = _RECLAIM_S if runner.is_reclaimable else self._drain_s
            known = _Departure(now, now + assumed_s, is_assumed=True)
            if math.isfinite(left_s):
                known = _Departure(now, now + left_s)
            self._known[key] = known
        elif now + left_s < known.ends_at or (
            known.is_assumed and math.isfinite(left_s)
        ):
            # A reported time replaces an assumed one, also by a later end.
            known = _Departure(known.noticed_at, now + left_s)
            self._known[key] = known
        return known.ends_at - now

    def _find_reported_time(self, runner: runners.Runner) -> float | None:
        """Return the time left by the entry; None if it does not leave."""
        entry = self._directory.find(runner.id)
        is_current = entry is not None and _is_same_process(entry, runner)
        if entry is not None and is_current and entry.is_leaving:
            return self._directory.find_time_left(runner.id)
        if self._directory.leaving.is_draining(runner):
            return math.inf
        # The entry of a draining runner ends before its process does.
        if entry is None and (runner.id, runner.born_ms) in self._known:
            return math.inf
        return None

    def _evict_old(self, now: float) -> None:
        oldest = now - _RETENTION_S
        for key, departure in list(self._known.items()):
            if departure.noticed_at < oldest:
                del self._known[key]


def _is_same_process(entry: runners.Runner, runner: runners.Runner) -> bool:
    return entry.born_ms == runner.born_ms or None in {
        entry.born_ms,
        runner.born_ms,
    }
