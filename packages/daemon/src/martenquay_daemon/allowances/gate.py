"""Let requests in as far as their teams' allowances go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from martenquay_daemon.allowances import terms

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import quota_ledger

__all__ = ["AllowanceGate", "QuotaHolders", "create_gate"]

# For so long a request waits for units that other daemons have: a message there
# and one back, each sent within 40 ms.
_TRANSFER_WAIT_S = 0.2
# Between two looks whether parts have come.
_SHARE_POLL_S = 0.05


class QuotaHolders(Protocol):
    """The daemons that keep units for others."""

    def holds_quota_here(self) -> bool:
        """Tell whether this daemon keeps the units that it needs itself."""

    async def ask(
        self, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Have a daemon decide that keeps this one's; None if none answers."""

    async def ask_address(
        self, address: str, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Have one daemon decide that has units; None if it says nothing."""


def _lacks_none() -> bool:
    return False


class AllowanceGate:
    """Decide by the units here, or have those decide that keep them.

    Attributes:
        lacks_shares: Tells whether parts that this daemon is to keep have not
            been lent to it yet; then what is here says little.
    """

    def __init__(
        self, units: quota_ledger.QuotaLedger, holders: QuotaHolders
    ) -> None:
        self.lacks_shares: Callable[[], bool] = _lacks_none
        self._ledger = units
        self._holders = holders

    async def acquire(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision:
        """Spend units for a request that came to this daemon."""
        if team.rate <= 0:
            return terms.AdmissionDecision(0.0)
        if not self._holders.holds_quota_here():
            answer = await self._holders.ask(team.name, request)
            if answer is not None:
                return answer
        verdict = await self._spend_locally(team, request)
        match verdict:
            case terms.HeldElsewhere(holder=holder) if holder:
                answer = await self._holders.ask_address(
                    holder, team.name, request
                )
                if answer is not None and answer.is_admitted:
                    return answer
        return await self.settle(team, request, verdict, _TRANSFER_WAIT_S)

    async def _spend_locally(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> terms.Verdict:
        """Return the verdict of the units here, once there can be some.

        When all daemons have started, callers that were cut off come back
        within the second in which parts are lent. Refused then, they mostly
        gave up; a second later there was enough for all.
        """
        deadline = trio.current_time() + request.max_wait_s
        verdict = self._ledger.try_spend(team, request)
        while isinstance(verdict, terms.Refused) and self.lacks_shares():
            if trio.current_time() >= deadline:
                break
            await trio.sleep(_SHARE_POLL_S)
            verdict = self._ledger.try_spend(team, request, is_again=True)
        return verdict

    async def settle(
        self,
        team: catalog.Team,
        request: terms.AdmissionRequest,
        verdict: terms.Verdict,
        wait_s: float,
    ) -> terms.AdmissionDecision:
        """Return what comes of a verdict of the units here.

        Args:
            team: Who spends.
            request: What for.
            verdict: The verdict.
            wait_s: How long the request may wait for units of others.
        """
        match verdict:
            case terms.HeldElsewhere(missing=missing):
                verdict = await self._wait_for_quota(
                    team, request, missing, wait_s
                )
        status = self._ledger.describe(team.name)
        match verdict:
            case terms.Admitted():
                return terms.AdmissionDecision(0.0, status)
            case _:
                retry_s = self._ledger.schedule_retry(team, request.units)
                return terms.AdmissionDecision(retry_s, status)

    async def _wait_for_quota(
        self,
        team: catalog.Team,
        request: terms.AdmissionRequest,
        missing: float,
        wait_s: float,
    ) -> terms.Verdict:
        """Wait a moment for units that others have."""
        verdict: terms.Verdict = terms.HeldElsewhere(missing)
        self._ledger.note_shortage(team, missing)
        try:
            with trio.move_on_after(wait_s):
                while isinstance(verdict, terms.HeldElsewhere):
                    await self._ledger.quota_received.wait()
                    verdict = self._ledger.try_spend(
                        team, request, is_again=True
                    )
        finally:
            self._ledger.note_shortage(team, -missing)
        return verdict


def create_gate(
    units: quota_ledger.QuotaLedger, holders: QuotaHolders
) -> AllowanceGate:
    """Return a gate."""
    return AllowanceGate(units, holders)
