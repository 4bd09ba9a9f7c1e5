"""Outlier ejection of failing runners, with a limit on the ejected part."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_core import logs

__all__ = ["Ejector"]

_LOG = logs.create_log("limits")
_FAILURES_TO_EJECT = 3
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# A fault of the daemon or the network must not eject a whole pool.
_MAX_EJECTED_FRACTION = 0.5


@dataclasses.dataclass
class _RunnerHealth:
    failures: int = 0
    ejected_until: float = 0.0
    next_ejection_s: float = _MIN_EJECTION_S
    is_unreachable: bool = False


class Ejector:
    """Ejects runners after consecutive failures, for doubling times."""

    def __init__(self) -> None:
        self._health: dict[str, _RunnerHealth] = {}

    def note_success(self, runner: str) -> None:
        """Record a call that the runner answered."""
        self._health.pop(runner, None)

    def note_failure(self, runner: str) -> None:
        """Record a failed call; eject the runner after several in a row."""
        health = self._health.setdefault(runner, _RunnerHealth())
        health.failures += 1
        if health.failures >= _FAILURES_TO_EJECT:
            self._eject(runner, health)

    def note_unreachable(self, runner: str) -> None:
        """Record a failed connection attempt and eject the runner at once."""
        health = self._health.setdefault(runner, _RunnerHealth())
        self._eject(runner, health)
        health.is_unreachable = True
        # A connection attempt is cheap, so the ejection time doesn't grow.
        health.next_ejection_s = _MIN_EJECTION_S

    def is_unreachable(self, runner: str) -> bool:
        """Return whether the runner is ejected for refused connections."""
        health = self._health.get(runner)
        return (
            health is not None
            and health.is_unreachable
            and trio.current_time() < health.ejected_until
        )

    def forget(self, runner: str) -> None:
        """Drop a runner's failures, as another process has replaced it."""
        self._health.pop(runner, None)

    def _eject(self, runner: str, health: _RunnerHealth) -> None:
        health.failures = 0
        health.ejected_until = trio.current_time() + health.next_ejection_s
        _LOG.write(
            f"Runner {runner} is ejected for {health.next_ejection_s:.0f} s.",
            runner=runner,
        )
        health.next_ejection_s = min(
            health.next_ejection_s * 2, _MAX_EJECTION_S
        )

    def is_ejected(self, runner: str) -> bool:
        """Return whether the runner is ejected now."""
        health = self._health.get(runner)
        return health is not None and trio.current_time() < health.ejected_until

    def filter_usable(self, runners: list[str]) -> list[str]:
        """Return the runners that are not ejected.

        If too many are ejected, all are returned, as the cause is then unlikely
        to be the runners themselves.
        """
        usable = [name for name in runners if not self.is_ejected(name)]
        if len(usable) < len(runners) * (1 - _MAX_EJECTED_FRACTION):
            return runners
        return usable
