"""Leave out runners that have ended although their entries are still there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from martenquay_core.serving import runners

__all__ = ["LostRunners"]

_LOG = logs.create_log("capacity")
# The entry of a runner that ended lapses within three heartbeats of 0.5 s and
# the time of a read. Until then it stays lost, also while no request tries it.
_LOST_S = 3.0
# If more of them refuse connections, the cause is probably this daemon.
_MAX_LOST_FRACTION = 0.5


class LostRunners:
    """Finds runners that refuse connections.

    In a zone whose daemons are silent, the network is the cause and the
    runners may serve others.
    """

    def __init__(
        self,
        is_unreachable: Callable[[str], bool],
        is_zone_silent: Callable[[str], bool],
    ) -> None:
        """Create the filter.

        Args:
            is_unreachable: Returns whether a runner refused a connection of
                this daemon recently, by its id.
            is_zone_silent: Returns whether a zone's daemons are silent.
        """
        self._is_unreachable = is_unreachable
        self._is_zone_silent = is_zone_silent
        # By id and process start, since a new process may have the same id.
        self._lost_until: dict[tuple[str, int | None], float] = {}

    def filter_present(
        self, known: Sequence[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that have not been lost."""
        now = trio.current_time()
        for runner in known:
            if self._is_unreachable(runner.id) and not self._is_zone_silent(
                runner.zone
            ):
                self._note_lost(runner, now)
        self._lost_until = {
            key: until for key, until in self._lost_until.items() if until > now
        }
        present = [
            runner
            for runner in known
            if (runner.id, runner.born_ms) not in self._lost_until
        ]
        if len(present) < (1 - _MAX_LOST_FRACTION) * len(known):
            return list(known)
        return present

    def _note_lost(self, runner: runners.Runner, now: float) -> None:
        key = (runner.id, runner.born_ms)
        if key not in self._lost_until:
            _LOG.write(
                f"Runner {runner.id} refuses connections and counts as lost.",
                runner=runner.id,
                service=runner.service,
                zone=runner.zone,
            )
        self._lost_until[key] = now + _LOST_S
