"""Estimate the time to first event at an engine, from its load and speed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners
    from martenquay_daemon.engines import loads, model

__all__ = ["OTHER_ZONE_S", "FirstEventCosts"]

# Round trip to another zone.
OTHER_ZONE_S = 0.004
# Delay per running request, as requests share the engine's steps.
_SLOT_S = 0.004
# For a zone from which no daemon's messages arrive; longer than a connection
# timeout.
_SILENT_ZONE_S = 0.5


class FirstEventCosts:
    """Expected seconds to a first event, as seen from this daemon's zone."""

    def __init__(
        self, zone: str, is_zone_silent: Callable[[str], bool]
    ) -> None:
        self._zone = zone
        self._is_zone_silent = is_zone_silent

    def estimate_s(
        self,
        runner: runners.Runner,
        load: loads.RunnerLoad,
        uncached: int,
        estimate: model.Estimate,
        speed: float,
    ) -> float:
        """Return the expected seconds to the first event of a request.

        Args:
            runner: The engine.
            load: Its load.
            uncached: Prompt tokens of the request that it has not cached.
            estimate: Performance of the service's engines.
            speed: Speed of this engine relative to the service's mean.
        """
        to_read = load.unread_tokens + uncached
        # Without this term a home whose slots are all busy would look fast.
        waiting = max(0, load.requests + 1 - runner.slots)
        slot_wait_s = waiting * estimate.hold_s / max(1, runner.slots)
        engine_s = (
            to_read / estimate.read_tokens_per_s
            + slot_wait_s
            + load.requests * _SLOT_S
        )
        return engine_s / speed + self.estimate_network_s(runner)

    def estimate_network_s(self, runner: runners.Runner) -> float:
        """Return the round trip to a runner's zone in seconds."""
        if runner.zone == self._zone:
            return 0.0
        if self._is_zone_silent(runner.zone):
            return _SILENT_ZONE_S
        return OTHER_ZONE_S
