"""Ask the daemons that keep units whether a request may spend some.

An answer that is lost or late loses the units that it grants; nobody has them
twice. So others can be asked as well when one does not answer at once.
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

__all__ = ["QuotaTransport", "QuotaClient"]

_LOG = logs.create_log("allowances")
# A keeper in the zone answers in 1 to 5 ms; one that has not by now is busy or
# gone, and the next one is asked beside it.
_HEDGE_S = 0.04
# A grant that comes later is not used: its units would reach a runner later
# than the bound's reckoning allows for.
_LONGEST_S = 0.2
# Of that, a keeper may wait for units of other keepers.
HUB_WAIT_S = 0.12
# By so much a timer may be late on a busy instance.
_LATE_S = 0.03
# A new link comes up within 5 to 20 ms.
_LINK_S = 0.01
# What a caller is told whose request has waited for units in vain.
_NO_UNITS_S = 0.5
# So many are asked at the most, both hubs of the zone and two others; more
# cost units, for each may grant some.
_MOST_ASKED = 4
# A keeper that did not answer is asked after the others for so long.
_DOUBTED_S = 1.0
# A daemon that has just started hears of its zone's keepers within this time.
_FIRST_KEEPER_S = 0.3
# Between two looks for the first one.
_LOOK_S = 0.03


class QuotaTransport(Protocol):
    """How keepers are reached."""

    def holds_own_quota(self) -> bool:
        """Tell whether this daemon keeps the units that it needs itself."""

    def list_quota_hubs(self) -> list[str]:
        """Return the addresses of those to ask, the first choice first."""

    def send_to(self, address: str, raw: bytes) -> bool:
        """Send a message; tell whether it is on its way."""


@dataclasses.dataclass
class _Ask:
    """One question until it is answered.

    Attributes:
        first: The keeper whose refusal is final: it has this zone's units.
        reply: The answer, once it is known.
        refusal: What another one has said.
        is_waiting: A keeper has said that it will answer.
        holder: Who has the units, if a keeper has said so.
        passed: How many have said that they keep none.
        news: Set with each answer; then another one is made.
    """

    first: str = ""
    reply: messages.QuotaReply | None = None
    refusal: messages.QuotaReply | None = None
    is_waiting: bool = False
    holder: str = ""
    passed: int = 0
    news: trio.Event = dataclasses.field(default_factory=trio.Event)

    def is_known(self) -> bool:
        """Tell whether nobody else is to be asked."""
        return self.reply is not None or self.is_waiting or bool(self.holder)

    def take(self, source: str, reply: messages.QuotaReply) -> None:
        """Take one keeper's answer."""
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
        self.news.set()
        self.news = trio.Event()


def _ignore(outcome: str, took_s: float) -> None:
    del outcome, took_s


class QuotaClient:
    """Implement `gate.QuotaHolders` by asking over the links.

    Attributes:
        observe: Told the outcome of each question and the seconds that it
            took.
    """

    def __init__(self, ways: QuotaTransport) -> None:
        self.observe: Callable[[str, float], None] = _ignore
        self._ways = ways
        self._asks: dict[int, _Ask] = {}
        self._number = 0
        self._doubted: dict[str, float] = {}

    def holds_quota_here(self) -> bool:
        """Tell whether this daemon keeps the units that it needs itself."""
        return self._ways.holds_own_quota()

    async def ask(
        self, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return a keeper's answer, or None if none comes in time.

        While all daemons take in a large configuration, or start, keepers
        answer late or have no parts yet; then the question is put again.
        """
        end = trio.current_time() + wish.max_wait_s
        while True:
            keepers = await self._find_keepers()
            answer = await self._ask_once(team, wish, keepers)
            if answer is not None or trio.current_time() >= end:
                return answer

    async def ask_address(
        self, address: str, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return one daemon's answer, or None if it says nothing."""
        return await self._ask_once(team, wish, [address], is_redirected=True)

    def apply_reply(self, source: str, reply: messages.QuotaReply) -> None:
        """Take a keeper's answer; one that nobody waits for is dropped."""
        one = self._asks.get(reply.number)
        if one is not None and one.reply is None:
            one.take(source, reply)

    async def _ask_once(
        self,
        team: str,
        wish: terms.AdmissionRequest,
        keepers: list[str],
        *,
        is_redirected: bool = False,
    ) -> terms.AdmissionDecision | None:
        self._number += 1
        number = self._number
        asked_at = trio.current_time()
        want = messages.QuotaRequest(
            number,
            team,
            wish.units,
            wish.reserve,
            wish.is_late,
            is_redirected,
        )
        one = self._asks[number] = _Ask(keepers[0] if keepers else "")
        try:
            with trio.move_on_at(asked_at + _LONGEST_S):
                await self._ask_each(keepers, one, want)
        finally:
            del self._asks[number]
        took_s = trio.current_time() - asked_at
        reply = one.reply or one.refusal
        if reply is None and one.is_waiting:
            # It has not got the units; to wait again would only hold it up.
            return terms.AdmissionDecision(_NO_UNITS_S)
        # A process that was stopped meanwhile finds an old answer.
        if reply is None or took_s > _LONGEST_S + _LATE_S:
            self._note_silence(team, keepers, took_s)
            return None
        self.observe(reply.verdict.name.lower(), took_s)
        return _read_reply(reply)

    async def _find_keepers(self) -> list[str]:
        """Return whom to ask; wait a moment for the first one."""
        with trio.move_on_after(_FIRST_KEEPER_S):
            while not self._ways.list_quota_hubs():
                await trio.sleep(_LOOK_S)
        now = trio.current_time()
        keepers = self._ways.list_quota_hubs()[:_MOST_ASKED]
        # Those in doubt last, the others as they are.
        keepers.sort(key=lambda one: self._doubted.get(one, 0.0) > now)
        return keepers

    async def _ask_each(
        self, keepers: list[str], one: _Ask, want: messages.QuotaRequest
    ) -> None:
        """Ask one keeper after the other until one answers."""
        raw = messages.encode_message(want)
        unlinked = []
        for asked, address in enumerate(keepers, 1):
            if not self._ways.send_to(address, raw):
                # The first question there has the link made.
                unlinked.append(address)
                one.passed += 1
                continue
            with trio.move_on_after(_HEDGE_S):
                while one.passed < asked and not one.is_known():
                    await one.news.wait()
            if one.is_known():
                break
            if one.passed < asked:
                self._doubted[address] = trio.current_time() + _DOUBTED_S
        while one.reply is None:
            if one.holder:
                await self._follow(one, want)
            if not one.is_known():
                unlinked = [
                    a for a in unlinked if not self._ways.send_to(a, raw)
                ]
            with trio.move_on_after(_LINK_S if unlinked else _LONGEST_S):
                await one.news.wait()

    async def _follow(self, one: _Ask, want: messages.QuotaRequest) -> None:
        """Ask the daemon that a keeper has named."""
        holder, one.holder = one.holder, ""
        again = msgspec.structs.replace(want, is_redirected=True)
        raw = messages.encode_message(again)
        while not self._ways.send_to(holder, raw):
            await trio.sleep(_LINK_S)

    def _note_silence(
        self, team: str, keepers: list[str], took_s: float
    ) -> None:
        self.observe("unanswered", took_s)
        _LOG.write(
            f"No keeper of units answers for team {team}.",
            team=team,
            keepers=keepers,
            took_ms=round(took_s * 1000),
        )


def _read_reply(reply: messages.QuotaReply) -> terms.AdmissionDecision:
    units = terms.QuotaStatus(reply.there, reply.owed, reply.part, reply.asked)
    is_granted = reply.verdict is messages.QuotaVerdict.GRANTED
    retry_s = 0.0 if is_granted else reply.retry_s
    return terms.AdmissionDecision(retry_s, units, reply.member)
