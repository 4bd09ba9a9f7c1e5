"""Track the backoff times that runners requested from this daemon."""

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
# After a backoff one probe request is sent, and others once it is answered or
# after this time: all waiting requests at once would overload the runner again.
_PROBE_TIMEOUT_S = 0.5
_MAX_RUNNERS = 4000


@dataclasses.dataclass
class _Backoff:
    """The backoff of one runner.

    Attributes:
        born_ms: Start time of the process that requested it, from its entry.
        until: End of the backoff, in trio's time.
        probed_at: When this daemon last sent a request, in trio's time.
    """

    born_ms: int | None
    until: float
    probed_at: float = -math.inf


class RunnerBackoffs:
    """Backoffs by runner id; they are not shared with other daemons.

    Attributes:
        observe: Called with the kind and the source of each new backoff.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_signal
        self._backoffs: dict[str, _Backoff] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners that have a backoff."""
        return set(self._backoffs)

    def note_rejection(self, runner: runners.Runner, backoff_s: float) -> None:
        """Record that a runner rejected a request and requested a backoff."""
        until = trio.current_time() + backoff_s
        backoff = self._find_backoff(runner)
        if backoff is None:
            self._evict_shortest()
            backoff = self._backoffs[runner.id] = _Backoff(
                runner.born_ms, until
            )
            _LOG.write(
                f"Runner {runner.id} requested a backoff of {backoff_s:g} s.",
                runner=runner.id,
                rest_s=backoff_s,
            )
            self.observe("rest", "answer")
        # A late answer must not shorten the backoff that another one requested.
        backoff.until = max(backoff.until, until)

    def note_answer(self, runner: runners.Runner, sent_at: float) -> None:
        """End the backoff if a request sent after it was accepted."""
        backoff = self._find_backoff(runner)
        if backoff is not None and sent_at >= backoff.until:
            del self._backoffs[runner.id]

    def find_wait_s(self, runner: runners.Runner) -> float:
        """Return the seconds until a request may be sent; 0 if now."""
        backoff = self._find_backoff(runner)
        if backoff is None:
            return 0.0
        available_at = max(backoff.until, backoff.probed_at + _PROBE_TIMEOUT_S)
        return max(0.0, available_at - trio.current_time())

    def note_sent(self, runner: runners.Runner) -> None:
        """Record that a request is sent to a runner now."""
        backoff = self._find_backoff(runner)
        if backoff is not None:
            backoff.probed_at = trio.current_time()

    def forget(self, runner_id: str) -> None:
        """Drop a runner's backoff, as another process has replaced it."""
        self._backoffs.pop(runner_id, None)

    def _find_backoff(self, runner: runners.Runner) -> _Backoff | None:
        backoff = self._backoffs.get(runner.id)
        if backoff is None:
            return None
        is_other_process = None not in {backoff.born_ms, runner.born_ms} and (
            backoff.born_ms != runner.born_ms
        )
        return None if is_other_process else backoff

    def _evict_shortest(self) -> None:
        if len(self._backoffs) < _MAX_RUNNERS:
            return
        del self._backoffs[
            min(
                self._backoffs,
                key=lambda runner_id: self._backoffs[runner_id].until,
            )
        ]
