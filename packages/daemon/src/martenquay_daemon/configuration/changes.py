"""Append operators' configuration changes to the log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.config import fold, records
from martenquay_core.peers import messages
from martenquay_core.platform import outcome
from martenquay_daemon.configuration import follower

if TYPE_CHECKING:
    from martenquay_core.platform import log
    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import links, table

__all__ = ["ChangeSubmitter", "PropagationStatus"]

_LOG = logs.create_log("configuration")
_VERDICT_TIMEOUT_S = 5.0

_CODES_BY_VERDICT = {
    fold.Verdict.CONFLICT: results.ResultCode.CONFLICT,
    fold.Verdict.FORBIDDEN: results.ResultCode.FORBIDDEN,
    fold.Verdict.INVALID: results.ResultCode.INVALID_VALUE,
}


@dataclasses.dataclass(frozen=True)
class PropagationStatus:
    """Availability zones in which a change is in force.

    Attributes:
        reported: Zones in which all daemons report it.
        missing: Zones in which a daemon has not reported it, or none is alive.
    """

    reported: list[str]
    missing: list[str]


class ChangeSubmitter:
    """Appends changes to the log and waits for their verdicts.

    The log's order decides between concurrent changes, so a change is accepted
    only once this daemon has read its record back from the log and applied it.
    """

    def __init__(
        self,
        client: log.LogClient,
        config: store.ConfigStore,
        signer: records.Signer,
        members: table.MemberTable,
        peers: links.PeerLinks,
        zones: list[str],
        propagation_timeout_s: float,
    ) -> None:
        self._client = client
        self._config = config
        self._signer = signer
        self._members = members
        self._peers = peers
        self._zones = zones
        self._propagation_timeout_s = propagation_timeout_s

    async def submit(
        self, change: records.Change
    ) -> Result[fold.Judgement, results.Failure]:
        """Append a change and wait for its verdict.

        Idempotent by change id: an operator may repeat a change whose outcome
        is unknown, and gets the first verdict.

        Returns:
            The judgement if the change was accepted, else a failure.
        """
        known = self._find_judgement(change.change_id)
        if known is not None:
            return _convert_judgement(known)
        payload = records.encode_change(change, self._signer)
        appended = await self._client.append(follower.CONFIG_STREAM, [payload])
        _LOG.write(
            f"Submitted operator {change.operator}'s change to {change.key}.",
            change=change.change_id,
            base=change.base_version,
        )
        if (
            appended.is_error()
            and appended.error.effect is outcome.Effect.NOT_DONE
        ):
            code = results.ResultCode.CHANGE_NOT_MADE
            message = f"the log refused: {appended.error.message}"
            return Error(results.Failure(code, message, retry_after_s=2.0))
        with trio.move_on_after(_VERDICT_TIMEOUT_S):
            return _convert_judgement(
                await self._wait_for_judgement(change.change_id)
            )
        code = results.ResultCode.CHANGE_UNKNOWN
        message = f"no verdict yet; ask again with id {change.change_id}"
        return Error(results.Failure(code, message, retry_after_s=2.0))

    async def wait_in_force(self, offset: int) -> PropagationStatus:
        """Wait until every daemon has applied an offset, or until a timeout.

        Each daemon is asked once and answers when it has applied the offset.
        """
        members = self._members.list_serving()
        reporting: set[str] = set()

        async def ask(member: messages.MemberUpdate) -> None:
            if await self._wait_applied_at(member.member, offset):
                reporting.add(member.member)

        with trio.move_on_after(self._propagation_timeout_s):
            async with trio.open_nursery() as nursery:
                for member in members:
                    nursery.start_soon(ask, member)
        serving_zones = {member.zone for member in members}
        unreported_zones = {
            m.zone for m in members if m.member not in reporting
        }
        complete_zones = serving_zones - unreported_zones
        return PropagationStatus(
            [zone for zone in self._zones if zone in complete_zones],
            [zone for zone in self._zones if zone not in complete_zones],
        )

    async def _wait_applied_at(self, member: str, offset: int) -> bool:
        if member == self._members.me.member:
            await self._config.applied.wait_for(offset)
            return True
        message = messages.WaitApplied(offset, self._propagation_timeout_s)
        reply = await self._peers.request(
            member, message, self._propagation_timeout_s
        )
        match reply:
            case Result(tag="ok", ok=messages.AppliedReply(applied=applied)):
                return applied >= offset
            case _:
                return False

    async def _wait_for_judgement(self, change_id: str) -> fold.Judgement:
        while True:
            applied = self._config.applied.value
            known = self._find_judgement(change_id)
            if known is not None:
                return known
            await self._config.applied.wait_beyond(applied)

    def _find_judgement(self, change_id: str) -> fold.Judgement | None:
        partner_state = self._config.state.partners[self._signer.partner]
        return partner_state.judged.get(change_id)


def _convert_judgement(
    judgement: fold.Judgement,
) -> Result[fold.Judgement, results.Failure]:
    if judgement.verdict is fold.Verdict.ACCEPTED:
        return Ok(judgement)
    return Error(
        results.Failure(_CODES_BY_VERDICT[judgement.verdict], judgement.reason)
    )
