"""Put an operator's change into the log and tell its verdict."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.config import fold, records
from martenquay_core.platform import outcome
from martenquay_daemon.configuration import follower

if TYPE_CHECKING:
    from martenquay_core.platform import log
    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import table

__all__ = ["ChangeDesk", "Spread"]

_LOG = logs.create_log("configuration")
_READ_BACK_S = 5.0
_POLL_S = 0.02

_CODES = {
    fold.Verdict.CONFLICT: results.ResultCode.CONFLICT,
    fold.Verdict.FORBIDDEN: results.ResultCode.FORBIDDEN,
    fold.Verdict.INVALID: results.ResultCode.INVALID_VALUE,
}


@dataclasses.dataclass(frozen=True)
class Spread:
    """Where a change is in force.

    Attributes:
        reported: Availability zones all of whose daemons report it.
        missing: Zones that have not reported it, or have no daemon alive.
    """

    reported: list[str]
    missing: list[str]


class ChangeDesk:
    """Take changes from operators.

    A change counts as accepted only once this daemon has read its own record
    back and judged it, as every other daemon will.
    """

    def __init__(
        self,
        client: log.LogClient,
        config: store.ConfigStore,
        signer: records.Signer,
        members: table.MemberTable,
        zones: list[str],
        spread_s: float,
    ) -> None:
        self._client = client
        self._config = config
        self._signer = signer
        self._members = members
        self._zones = zones
        self._spread_s = spread_s

    async def submit(
        self, change: records.Change
    ) -> Result[fold.Judgement, results.Failure]:
        """Append a change and wait for its verdict.

        The same change id sent again gives the first verdict again, so an
        operator may repeat a change whose outcome is unknown.
        """
        known = self._find_judgement(change.change_id)
        if known is not None:
            return _judge(known)
        payload = records.encode_change(change, self._signer)
        appended = await self._client.append(follower.CONFIG_STREAM, [payload])
        _LOG.write(
            f"Operator {change.operator} asked to change {change.key}.",
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
        with trio.move_on_after(_READ_BACK_S):
            return _judge(await self._read_back(change.change_id))
        code = results.ResultCode.CHANGE_UNKNOWN
        message = f"no verdict yet; ask again with id {change.change_id}"
        return Error(results.Failure(code, message, retry_after_s=2.0))

    async def wait_in_force(self, offset: int) -> Spread:
        """Wait until every zone reports the offset, or name those missing."""
        with trio.move_on_after(self._spread_s):
            while self._measure_spread(offset).missing:
                await trio.sleep(_POLL_S)
        return self._measure_spread(offset)

    def _measure_spread(self, offset: int) -> Spread:
        lowest: dict[str, int] = {}
        for member in self._members.list_serving():
            known = lowest.get(member.zone, member.applied)
            lowest[member.zone] = min(known, member.applied)
        reported = [z for z in self._zones if lowest.get(z, 0) >= offset]
        missing = [z for z in self._zones if z not in reported]
        return Spread(reported, missing)

    async def _read_back(self, change_id: str) -> fold.Judgement:
        while True:
            applied = self._config.applied.value
            known = self._find_judgement(change_id)
            if known is not None:
                return known
            await self._config.applied.wait_beyond(applied)

    def _find_judgement(self, change_id: str) -> fold.Judgement | None:
        own = self._config.state.partners[self._signer.partner]
        return own.judged.get(change_id)


def _judge(
    judgement: fold.Judgement,
) -> Result[fold.Judgement, results.Failure]:
    if judgement.verdict is fold.Verdict.ACCEPTED:
        return Ok(judgement)
    return Error(results.Failure(_CODES[judgement.verdict], judgement.reason))
