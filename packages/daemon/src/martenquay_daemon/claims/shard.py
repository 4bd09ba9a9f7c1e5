"""Settle claims by appending to one claim stream and reading it back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.peers import messages
from martenquay_core.platform import outcome
from martenquay_daemon.claims import records, table
from martenquay_daemon.journal import appender, follower

if TYPE_CHECKING:
    from martenquay_core.platform import log
    from martenquay_daemon.journal import health, offset_index

__all__ = ["ClaimShard", "create_shard"]

_LOG = logs.create_log("claims")
_READ_BACK_TIMEOUT_S = 1.0
_POLL_S = 0.05


class ClaimShard:
    """Follower, appender and claim table of one claim stream.

    Attributes:
        claims: Claims and outcomes read from the stream so far.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream_follower: follower.StreamFollower,
        stream_appender: appender.StreamAppender,
        claims: table.ClaimTable,
        log_health: health.LogHealth,
    ) -> None:
        self.claims = claims
        self._client = client
        self._follower = stream_follower
        self._appender = stream_appender
        self._health = log_health

    async def run(self) -> None:
        """Follow the stream and append to it until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._appender.run)
            while True:
                await trio.sleep(1.0)
                self.claims.forget_before(self._follower.oldest_offset)

    async def settle(self, claim: records.Claim) -> messages.SettleReply:
        """Append a claim and return how the order of the log settles it.

        A claim has won only once it was read back: another daemon's claim may
        come before it in the log.
        """
        known = await self._find_settlement(claim)
        if known is not None:
            return known
        if not self._health.is_up:
            return _create_log_down_reply()
        appended = await self._appender.append(records.encode(claim))
        match appended:
            case Result(tag="ok", ok=offset):
                with trio.move_on_after(_READ_BACK_TIMEOUT_S):
                    await self._follower.applied.wait_for(offset)
            case Result(
                error=outcome.PlatformFailure(effect=outcome.Effect.UNKNOWN)
            ):
                await self._wait_for_claim(claim)
            case _:
                return _create_log_down_reply()
        return await self._find_settlement(claim) or _create_log_down_reply()

    async def append(self, record: records.ClaimRecord) -> bool:
        """Append a release or an outcome; return whether that succeeded."""
        appended = await self._appender.append(records.encode(record))
        return appended.is_ok()

    async def wait_outcome(
        self, claim: records.Claim, wait_s: float
    ) -> messages.SettleReply:
        """Wait until the claim that holds the key has an outcome.

        Args:
            claim: A claim on the key that did not win.
            wait_s: Longest time to wait, in seconds.

        Returns:
            The state of the key when the wait ends; `FREE` if no claim holds
            it any more.
        """
        with trio.move_on_after(wait_s):
            while True:
                applied = self._follower.applied.value
                reply = await self._find_settlement_or_free(claim)
                if reply.settlement is not messages.Settlement.HELD:
                    return reply
                await self._follower.applied.wait_beyond(applied)
        return await self._find_settlement_or_free(claim)

    async def _find_settlement_or_free(
        self, claim: records.Claim
    ) -> messages.SettleReply:
        free = messages.SettleReply(settlement=messages.Settlement.FREE)
        return await self._find_settlement(claim) or free

    async def _find_settlement(
        self, claim: records.Claim
    ) -> messages.SettleReply | None:
        """Return the state of the claim's key, or None if it is free."""
        entry = self.claims.find(claim.key)
        if entry is not None:
            return _create_entry_reply(claim, entry)
        location = self.claims.find_archived(claim.key)
        return (
            await self._read_archived_outcome(claim, location)
            if location
            else None
        )

    async def _read_archived_outcome(
        self, claim: records.Claim, location: offset_index.RecordRange
    ) -> messages.SettleReply:
        page = await self._client.read(
            self._appender.stream, location.offset, limit=1
        )
        if page.is_ok() and page.ok.records:
            found = records.decode(page.ok.records[0].payload)
            if isinstance(found, records.Outcome) and found.key == claim.key:
                return _create_outcome_reply(claim, found)
        # The call was made, so this must not report the key as free even when
        # the outcome cannot be read.
        return messages.SettleReply(settlement=messages.Settlement.DONE)

    async def _wait_for_claim(self, claim: records.Claim) -> None:
        """Wait, for a limited time, until any claim on the key was read."""
        with trio.move_on_after(_READ_BACK_TIMEOUT_S):
            while self.claims.find(claim.key) is None:
                await trio.sleep(_POLL_S)


def create_shard(
    client: log.LogClient,
    stream: str,
    log_health: health.LogHealth,
    min_interval_s: float,
    full_outcomes: int,
) -> ClaimShard:
    """Create a shard, to be started with `ClaimShard.run`."""
    claims = table.ClaimTable(full_outcomes)
    return ClaimShard(
        client,
        follower.StreamFollower(client, stream, log_health, claims.apply),
        appender.StreamAppender(client, stream, log_health, min_interval_s),
        claims,
        log_health,
    )


def _create_entry_reply(
    claim: records.Claim, entry: table.Entry
) -> messages.SettleReply:
    """Return how a claim is settled by the entry of its key."""
    if entry.claim.request_digest != claim.request_digest:
        return messages.SettleReply(settlement=messages.Settlement.MISMATCH)
    if entry.outcome is not None:
        return _create_outcome_reply(claim, entry.outcome)
    won = entry.claim.attempt == claim.attempt
    settlement = messages.Settlement.WON if won else messages.Settlement.HELD
    return messages.SettleReply(
        settlement=settlement, holder=entry.claim.holder
    )


def _create_outcome_reply(
    claim: records.Claim, outcome: records.Outcome
) -> messages.SettleReply:
    if outcome.request_digest != claim.request_digest:
        return messages.SettleReply(settlement=messages.Settlement.MISMATCH)
    return messages.SettleReply(
        settlement=messages.Settlement.DONE,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
    )


def _create_log_down_reply() -> messages.SettleReply:
    return messages.SettleReply(settlement=messages.Settlement.LOG_DOWN)
