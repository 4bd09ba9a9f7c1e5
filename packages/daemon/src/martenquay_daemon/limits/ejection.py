"""Keep failing runners out for a while, but never most of a pool."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_core import logs

__all__ = ["Ejector"]

_LOG = logs.create_log("limits")
_FAILURES = 3
_FIRST_S = 1.0
_LONGEST_S = 30.0
# A fault of ours or of the network must not empty a pool.
_MAX_EJECTED = 0.5


@dataclasses.dataclass
class _Standing:
    failures: int = 0
    ejected_until: float = 0.0
    next_s: float = _FIRST_S


class Ejector:
    """Count failures in a row by runner."""

    def __init__(self) -> None:
        self._standings: dict[str, _Standing] = {}

    def note_success(self, runner: str) -> None:
        """Note a call that was answered."""
        self._standings.pop(runner, None)

    def note_failure(self, runner: str) -> None:
        """Note a call that was not answered."""
        standing = self._standings.setdefault(runner, _Standing())
        standing.failures += 1
        if standing.failures >= _FAILURES:
            self._eject(runner, standing)

    def note_unreachable(self, runner: str) -> None:
        """Note that no connection came up, which says enough at once."""
        standing = self._standings.setdefault(runner, _Standing())
        self._eject(runner, standing)
        # It costs little to find out that a connection comes up again.
        standing.next_s = _FIRST_S

    def forget(self, runner: str) -> None:
        """Drop what is known of a runner: its process is a new one."""
        self._standings.pop(runner, None)

    def _eject(self, runner: str, standing: _Standing) -> None:
        standing.failures = 0
        standing.ejected_until = trio.current_time() + standing.next_s
        _LOG.write(
            f"Runner {runner} gets no work for {standing.next_s:.0f} s.",
            runner=runner,
        )
        standing.next_s = min(standing.next_s * 2, _LONGEST_S)

    def is_ejected(self, runner: str) -> bool:
        """Tell whether the runner is kept out now."""
        standing = self._standings.get(runner)
        return (
            standing is not None
            and trio.current_time() < standing.ejected_until
        )

    def keep_usable(self, runners: list[str]) -> list[str]:
        """Return the runners to choose from.

        When more than half would be kept out, all may be used: then the
        failures say little about any one of them.
        """
        usable = [name for name in runners if not self.is_ejected(name)]
        if len(usable) < len(runners) * (1 - _MAX_EJECTED):
            return runners
        return usable
