"""Ask the hubs that hold a team's quota to spend some for a request.

Hubs are asked with hedging. A reply that is lost or late loses the units that
it grants, but never grants them twice, so a second hub may be asked while the
first one is silent.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from martenquay_core import logs
from martenquay_daemon.allowances import terms
from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["QuotaClient", "QuotaTransport"]

_LOG = logs.create_log("allowances")
# The next hub is asked after this time without a reply.
_HEDGE_S = 0.04
# A later grant is not used: its units would reach a runner later than the
# tolerance bounds allow for.
_TIMEOUT_S = 0.2
# Part of the timeout for which a hub may wait for transfers.
HUB_WAIT_S = 0.12
# Allows for timers that fire late on a busy instance.
_TIMER_DELAY_S = 0.03
# Pause before a message is sent again over a link that is being set up.
_LINK_RETRY_S = 0.01
# Retry time for a caller whose request got no units within the timeout.
_NO_UNITS_RETRY_S = 0.5
# Each further hub may grant the units once more, which wastes them.
_MAX_HUBS = 4
# How long a hub that did not reply is asked last.
_SUSPECT_S = 1.0
# How long to wait for the first hub after a start.
_FIRST_HUB_WAIT_S = 0.3
_FIRST_HUB_CHECK_S = 0.03


class QuotaTransport(Protocol):
    """Access to the daemons that hold quota."""

    def holds_own_quota(self) -> bool:
        """Return whether this daemon holds the quota that it needs."""

    def list_quota_hubs(self) -> list[str]:
        """Return the addresses to ask, by preference."""

    def send_to(self, address: str, raw: bytes) -> bool:
        """Send a message; return whether it was sent."""


@dataclasses.dataclass
class _PendingRequest:
    """State of a quota request until it is decided.

    Attributes:
        first: Address of the hub whose refusal is final, because it holds
            this zone's quota.
        reply: The deciding reply.
        refusal: A refusal by another hub, used if no reply decides.
        is_waiting: A hub has replied that it waits for transfers.
        holder: Address of the holder that a hub has named, until it is asked.
        passed: Number of hubs that hold no quota or are not linked yet.
        reply_received: Set at each reply and then replaced.
    """

    first: str = ""
    reply: messages.QuotaReply | None = None
    refusal: messages.QuotaReply | None = None
    is_waiting: bool = False
    holder: str = ""
    passed: int = 0
    reply_received: trio.Event = dataclasses.field(default_factory=trio.Event)

    def needs_no_hedging(self) -> bool:
        """Return whether no further hub is to be asked."""
        return self.reply is not None or self.is_waiting or bool(self.holder)

    def apply_reply(self, source: str, reply: messages.QuotaReply) -> None:
        """Process one hub's reply."""
        match reply.verdict:
            case messages.QuotaVerdict.GRANTED:
                self.reply = reply
            case messages.QuotaVerdict.REFUSED if source == self.first:
                self.reply = reply
            case messages.QuotaVerdict.REFUSED:
                self.refusal = reply
            case messages.QuotaVerdict.WAITING:
                self.is_waiting = True
            case messages.QuotaVerdict.PASSED:
                self.passed += 1
            case messages.QuotaVerdict.REDIRECTED:
                self.holder = self.first = reply.holder
        self.reply_received.set()
        self.reply_received = trio.Event()


def _ignore_outcome(outcome: str, took_s: float) -> None:
    del outcome, took_s


class QuotaClient:
    """Implements `gate.QuotaHolders` by requests to quota hubs.

    Attributes:
        observe: Called with the outcome and the duration in seconds of each
            request.
    """

    def __init__(self, transport: QuotaTransport) -> None:
        self.observe: Callable[[str, float], None] = _ignore_outcome
        self._transport = transport
        self._pending: dict[int, _PendingRequest] = {}
        self._number = 0
        self._suspect_until: dict[str, float] = {}

    def holds_quota_here(self) -> bool:
        """Return whether this daemon holds the quota that it needs."""
        return self._transport.holds_own_quota()

    async def ask(
        self, team: str, admission: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return a hub's decision, or None if no hub replies in time.

        The request is repeated until `max_wait_s` is over: hubs reply late
        while they apply a large catalog, and after a start they may not hold
        shares of the refill rates yet.
        """
        end = trio.current_time() + admission.max_wait_s
        while True:
            hubs = await self._find_hubs()
            decision = await self._ask_once(team, admission, hubs)
            if decision is not None or trio.current_time() >= end:
                return decision

    async def ask_address(
        self, address: str, team: str, admission: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return one daemon's decision, or None if it does not reply."""
        return await self._ask_once(
            team, admission, [address], is_redirected=True
        )

    def apply_reply(self, source: str, reply: messages.QuotaReply) -> None:
        """Process a hub's reply; drop it if its request is decided."""
        pending = self._pending.get(reply.number)
        if pending is not None and pending.reply is None:
            pending.apply_reply(source, reply)

    async def _ask_once(
        self,
        team: str,
        admission: terms.AdmissionRequest,
        hubs: list[str],
        *,
        is_redirected: bool = False,
    ) -> terms.AdmissionDecision | None:
        self._number += 1
        number = self._number
        started_at = trio.current_time()
        request = messages.QuotaRequest(
            number,
            team,
            admission.units,
            admission.reserve,
            admission.is_late,
            is_redirected,
        )
        pending = self._pending[number] = _PendingRequest(
            hubs[0] if hubs else ""
        )
        try:
            with trio.move_on_at(started_at + _TIMEOUT_S):
                await self._ask_hubs(hubs, pending, request)
        finally:
            del self._pending[number]
        took_s = trio.current_time() - started_at
        reply = pending.reply or pending.refusal
        if reply is None and pending.is_waiting:
            # The hub lacks the units; asking again would only add a delay.
            return terms.AdmissionDecision(_NO_UNITS_RETRY_S)
        # A process that was suspended meanwhile receives an outdated reply.
        if reply is None or took_s > _TIMEOUT_S + _TIMER_DELAY_S:
            self._note_timeout(team, hubs, took_s)
            return None
        self.observe(reply.verdict.name.lower(), took_s)
        return _read_reply(reply)

    async def _find_hubs(self) -> list[str]:
        """Return the hubs to ask, after a short wait for the first one."""
        with trio.move_on_after(_FIRST_HUB_WAIT_S):
            while not self._transport.list_quota_hubs():
                await trio.sleep(_FIRST_HUB_CHECK_S)
        now = trio.current_time()
        hubs = self._transport.list_quota_hubs()[:_MAX_HUBS]
        # Suspect hubs last; the sort is stable for the others.
        hubs.sort(key=lambda hub: self._suspect_until.get(hub, 0.0) > now)
        return hubs

    async def _ask_hubs(
        self,
        hubs: list[str],
        pending: _PendingRequest,
        request: messages.QuotaRequest,
    ) -> None:
        """Ask hubs one after the other until a reply decides."""
        raw = messages.encode_message(request)
        unlinked = []
        for asked, address in enumerate(hubs, 1):
            if not self._transport.send_to(address, raw):
                # The attempt has created the link; it is up a moment later.
                unlinked.append(address)
                pending.passed += 1
                continue
            with trio.move_on_after(_HEDGE_S):
                while pending.passed < asked and not pending.needs_no_hedging():
                    await pending.reply_received.wait()
            if pending.needs_no_hedging():
                break
            if pending.passed < asked:
                self._suspect_until[address] = trio.current_time() + _SUSPECT_S
        while pending.reply is None:
            if pending.holder:
                await self._ask_holder(pending, request)
            if not pending.needs_no_hedging():
                unlinked = [
                    address
                    for address in unlinked
                    if not self._transport.send_to(address, raw)
                ]
            with trio.move_on_after(_LINK_RETRY_S if unlinked else _TIMEOUT_S):
                await pending.reply_received.wait()

    async def _ask_holder(
        self, pending: _PendingRequest, request: messages.QuotaRequest
    ) -> None:
        """Ask the daemon that a hub has named as holder."""
        holder, pending.holder = pending.holder, ""
        redirected = msgspec.structs.replace(request, is_redirected=True)
        raw = messages.encode_message(redirected)
        while not self._transport.send_to(holder, raw):
            await trio.sleep(_LINK_RETRY_S)

    def _note_timeout(self, team: str, hubs: list[str], took_s: float) -> None:
        self.observe("unanswered", took_s)
        _LOG.write(
            f"No quota hub answered for team {team}.",
            team=team,
            keepers=hubs,
            took_ms=round(took_s * 1000),
        )


def _read_reply(reply: messages.QuotaReply) -> terms.AdmissionDecision:
    status = terms.QuotaStatus(reply.there, reply.owed, reply.part, reply.asked)
    is_granted = reply.verdict is messages.QuotaVerdict.GRANTED
    retry_s = 0.0 if is_granted else reply.retry_s
    return terms.AdmissionDecision(retry_s, status, reply.member)
