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
# After its backoff a runner gets one request, and the next one when that is
# answered or after this time: all that waited would be turned away at once.
_PROBE_TIMEOUT_S = 0.5
# Of so many runners, those that backoff longest; each takes 250 bytes.
_MAX_RUNNERS = 4000


@dataclasses.dataclass
class _Backoff:
    """One runner's backoff.

    Attributes:
        born_ms: As in the entry of the process that asked for it.
        until: Its end, in trio's time.
        probed_at: When a request was sent there after it.
    """

    born_ms: int | None
    until: float
    probed_at: float = -math.inf


class RunnerBackoffs:
    """Rests by runner id; they are this daemon's alone.

    Attributes:
        observe: Told the kind and the source of each backoff that begins.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_signal
        self._backoffs: dict[str, _Backoff] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners of which something is known."""
        return set(self._backoffs)

    def note_rejection(self, runner: runners.Runner, backoff_s: float) -> None:
        """Note that a runner has turned a request away and asks for backoff."""
        until = trio.current_time() + backoff_s
        backoff = self._find_backoff(runner)
        if backoff is None:
            self._evict_shortest()
            backoff = self._backoffs[runner.id] = _Backoff(
                runner.born_ms, until
            )
            _LOG.write(
                f"Runner {runner.id} wants nothing for {backoff_s:g} s.",
                runner=runner.id,
                rest_s=backoff_s,
            )
            self.observe("rest", "answer")
        # An answer that comes late does not cut the time of another one short.
        backoff.until = max(backoff.until, until)

    def note_answer(self, runner: runners.Runner, sent_at: float) -> None:
        """Note that a runner has taken a request that was sent then."""
        backoff = self._find_backoff(runner)
        if backoff is not None and sent_at >= backoff.until:
            del self._backoffs[runner.id]

    def find_wait_s(self, runner: runners.Runner) -> float:
        """Return for how long a runner gets nothing; 0 if it may now."""
        backoff = self._find_backoff(runner)
        if backoff is None:
            return 0.0
        available_at = max(backoff.until, backoff.probed_at + _PROBE_TIMEOUT_S)
        return max(0.0, available_at - trio.current_time())

    def note_sent(self, runner: runners.Runner) -> None:
        """Note that a request goes to a runner now."""
        backoff = self._find_backoff(runner)
        if backoff is not None:
            backoff.probed_at = trio.current_time()

    def forget(self, runner_id: str) -> None:
        """Drop what a runner has asked for: its process is a new one."""
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
