"""Let requests in as far as their teams' allowances go."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import terms

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import escrow, ledger

__all__ = ["AllowanceGate", "create_gate"]

# For so long a request waits for units that other daemons have: a message there
# and one back, each sent within 40 ms.
_WAIT_S = 0.2


class AllowanceGate:
    """Decide by units in a small fleet, by sums in a large one.

    In a large fleet a daemon's part of a team's units is less than one request
    takes, so what all have spent is reckoned there.
    """

    def __init__(
        self,
        units: escrow.EscrowLedger,
        sums: ledger.AllowanceLedger,
        is_small: Callable[[], bool],
    ) -> None:
        self._units = units
        self._sums = sums
        self._is_small = is_small
        self._was_small = is_small()
        self._changed_at = -math.inf

    async def take(self, team: catalog.Team, wish: terms.Wish) -> float:
        """Spend units; return 0, or when to come back, in seconds."""
        if team.rate <= 0:
            return 0.0
        self._note_mode()
        if not self._was_small:
            return self._sums.take(team, wish.units, wish.reserve)
        if self._is_changing() and not self._sums.has_room(team, wish.reserve):
            return self._units.refuse(team, wish.units)
        verdict = self._units.take(team, wish)
        match verdict:
            case terms.Elsewhere(missing=missing):
                verdict = await self._wait(team, wish, missing)
        match verdict:
            case terms.Admitted():
                self._sums.note_spent(team, wish.units)
                return 0.0
            case _:
                return self._units.refuse(team, wish.units)

    def give_back(self, team: catalog.Team, units: float) -> None:
        """Return units of a request that did not run.

        Units that live for a second are not worth it: they would have to end
        when they would have ended unspent, and most have by then.
        """
        self._note_mode()
        if not self._was_small:
            self._sums.give_back(team, units)

    def describe(self, team: str) -> terms.Standing:
        """Return what decides on a team's next request, for the log."""
        return dataclasses.replace(
            self._sums.describe(team), units=self._units.describe(team)
        )

    def list_own(self) -> dict[str, float]:
        """Return what this daemon has spent since it started, by team."""
        return self._sums.list_own()

    async def _wait(
        self, team: catalog.Team, wish: terms.Wish, missing: float
    ) -> terms.Verdict:
        """Wait a moment for units that others have."""
        verdict: terms.Verdict = terms.Elsewhere(missing)
        self._units.note_need(team, missing)
        try:
            with trio.move_on_after(_WAIT_S):
                while isinstance(verdict, terms.Elsewhere):
                    await self._units.news.wait()
                    verdict = self._units.take(team, wish, is_again=True)
        finally:
            self._units.note_need(team, -missing)
        return verdict

    def _note_mode(self) -> None:
        is_small = self._is_small()
        if is_small != self._was_small:
            self._was_small = is_small
            self._changed_at = trio.current_time()

    def _is_changing(self) -> bool:
        """Tell whether the window still holds what sums have let in."""
        since_s = trio.current_time() - self._changed_at
        return since_s < self._units.bounds.window_s


def create_gate(
    units: escrow.EscrowLedger,
    sums: ledger.AllowanceLedger,
    is_small: Callable[[], bool],
) -> AllowanceGate:
    """Return a gate."""
    return AllowanceGate(units, sums, is_small)
