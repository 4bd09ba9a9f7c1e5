"""Hold each zone's newest summaries and choose the hub to use."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core import logs

if TYPE_CHECKING:
    from martenquay_daemon.engines import speeds
    from martenquay_daemon.fleet import messages

__all__ = ["KnownSummary", "ZoneTable"]

_LOG = logs.create_log("fleet")
# Another hub of the zone is used when the active one is silent for this long.
_FAILOVER_S = 1.5


@dataclasses.dataclass
class KnownSummary:
    """A hub's newest summary of its zone.

    Attributes:
        summary: The summary.
        loads: Load of the zone's daemons at runners, by runner id; empty if
            the message had none.
        heard_at: When it was received, in trio's time.
        speeds: Evidence of the zone's daemons on engines' speeds, by runner
            id; empty if the message had none.
    """

    summary: messages.ZoneSummary
    loads: dict[str, messages.LoadEntry]
    heard_at: float
    speeds: dict[str, speeds.SpeedSums] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class _Zone:
    """The hubs of a zone.

    Attributes:
        active: Member id of the hub whose summaries are used.
        hubs: Newest summaries, by the hub's member id.
    """

    active: str
    hubs: dict[str, KnownSummary] = dataclasses.field(default_factory=dict)


class ZoneTable:
    """Newest summaries of all zones, with one active hub each."""

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}

    def apply_summary(
        self,
        summary: messages.ZoneSummary,
        loads: dict[str, messages.LoadEntry],
        now: float,
        engine_speeds: dict[str, speeds.SpeedSums] | None = None,
    ) -> bool:
        """Apply a summary; return whether it is newer and its hub is active."""
        zone = self._zones.setdefault(summary.zone, _Zone(summary.hub))
        known = zone.hubs.get(summary.hub)
        if known is not None and summary.number <= known.summary.number:
            return False
        zone.hubs[summary.hub] = KnownSummary(
            summary, loads, now, engine_speeds or {}
        )
        is_active = summary.hub == zone.active
        return is_active or self._fail_over(zone, summary, now)

    def find_active(self, zone: str) -> KnownSummary | None:
        """Return the summary of a zone's active hub, if any is known."""
        known = self._zones.get(zone)
        return None if known is None else known.hubs[known.active]

    def list_active(self) -> list[KnownSummary]:
        """Return the summary of each zone's active hub."""
        return [zone.hubs[zone.active] for zone in self._zones.values()]

    def list_hubs(self, now: float) -> list[KnownSummary]:
        """Return the summaries of all hubs that are not silent."""
        return [
            known
            for zone in self._zones.values()
            for known in zone.hubs.values()
            if now - known.heard_at <= _FAILOVER_S
        ]

    def clear(self) -> None:
        """Drop all zones."""
        self._zones.clear()

    def _fail_over(
        self, zone: _Zone, summary: messages.ZoneSummary, now: float
    ) -> bool:
        """Make the summary's hub active if the present one is silent."""
        silent_s = now - zone.hubs[zone.active].heard_at
        if silent_s < _FAILOVER_S:
            return False
        _LOG.write(
            f"Using hub {summary.hub} for zone {summary.zone}.",
            previous=zone.active,
            silent_s=round(silent_s, 3),
        )
        zone.hubs.pop(zone.active)
        zone.active = summary.hub
        return True
