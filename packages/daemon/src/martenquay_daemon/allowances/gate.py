"""Admit or refuse requests by their teams' quota."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from martenquay_daemon.allowances import terms

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import quota_ledger

__all__ = ["AllowanceGate", "QuotaHolders", "create_gate"]

# How long a request waits for quota of other daemons: a message there and a
# transfer back.
_TRANSFER_WAIT_S = 0.2
_SHARE_POLL_S = 0.05


class QuotaHolders(Protocol):
    """The daemons that hold quota for others."""

    def holds_quota_here(self) -> bool:
        """Return whether this daemon spends quota of its own, without a hub."""

    async def ask(
        self, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Have a quota hub decide; return None if none answers."""

    async def ask_address(
        self, address: str, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Have the daemon at an address decide; return None if it fails to."""


def _lacks_none() -> bool:
    return False


class AllowanceGate:
    """Decides on requests by local quota, or asks the daemons that hold it.

    Attributes:
        lacks_shares: Returns whether refill shares that are to be delegated to
            this daemon have not arrived yet; the quota here is then too low
            to refuse a request.
    """

    def __init__(
        self, ledger: quota_ledger.QuotaLedger, holders: QuotaHolders
    ) -> None:
        self.lacks_shares: Callable[[], bool] = _lacks_none
        self._ledger = ledger
        self._holders = holders

    async def acquire(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision:
        """Spend quota for a request that a caller sent to this daemon.

        If this daemon holds no quota, a quota hub decides. Otherwise, or if no
        hub answers, the local ledger does; quota that it lacks but others hold
        is asked of a daemon that holds enough, or awaited as a transfer.
        """
        if team.rate <= 0:
            return terms.AdmissionDecision(0.0)
        if not self._holders.holds_quota_here():
            decision = await self._holders.ask(team.name, request)
            if decision is not None:
                return decision
        verdict = await self._spend_locally(team, request)
        match verdict:
            case terms.HeldElsewhere(holder=holder) if holder:
                decision = await self._holders.ask_address(
                    holder, team.name, request
                )
                if decision is not None and decision.is_admitted:
                    return decision
        if request.is_resuming:
            verdict = await self._wait_in_front(team, request, verdict)
        return await self.settle(team, request, verdict, _TRANSFER_WAIT_S)

    async def _wait_in_front(
        self,
        team: catalog.Team,
        request: terms.AdmissionRequest,
        verdict: terms.Verdict,
    ) -> terms.Verdict:
        """Wait until there is quota for a resumed stream.

        After a restart of all daemons the quota begins at 0, and new requests
        ask for all that is refilled. A refusal would lose the part of the
        stream that the caller has.
        """
        if isinstance(verdict, terms.Admitted):
            return verdict
        deadline = trio.current_time() + request.max_wait_s
        with self._ledger.set_aside(team, request.units):
            while trio.current_time() < deadline:
                with trio.move_on_after(_SHARE_POLL_S):
                    await self._ledger.quota_received.wait()
                verdict = self._ledger.try_spend(team, request, is_again=True)
                if isinstance(verdict, terms.Admitted):
                    break
        return verdict

    async def _spend_locally(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> terms.Verdict:
        """Try to spend local quota, waiting for refill shares to arrive.

        Without the wait, callers that reconnect after a restart of the fleet
        would be refused before the shares have been delegated.
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
        """Turn the local ledger's verdict into a decision.

        Args:
            team: The team whose quota is spent.
            request: What the request asks for.
            verdict: The local ledger's verdict.
            wait_s: How long the request may wait for transfers.
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
        """Retry on each transfer until the request is decided or times out."""
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
    ledger: quota_ledger.QuotaLedger, holders: QuotaHolders
) -> AllowanceGate:
    """Return a gate."""
    return AllowanceGate(ledger, holders)
