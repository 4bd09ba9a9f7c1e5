"""Settle claims on idempotency keys at a daemon that follows their stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.peers import messages
from martenquay_daemon.claims import records, shard

if TYPE_CHECKING:
    from martenquay_core.platform import log
    from martenquay_daemon.journal import health, shards
    from martenquay_daemon.membership import links

__all__ = ["ClaimManager"]

_LOG = logs.create_log("claims")
_SETTLE_TIMEOUT_S = 3.5
_REPLY_MARGIN_S = 1.0
_FOLLOW_CHECK_INTERVAL_S = 1.0
_REPORT_RETRY_S = 0.5
_MAX_PARALLEL_REPORTS = 64


class ClaimManager:
    """Settles claims and delivers their releases and outcomes to the log.

    To settle a claim is to find out whether it holds its key. A daemon follows
    the shards that the shard map assigns to it. It asks a follower for the
    others, and starts to follow a shard itself when no follower answers.
    """

    def __init__(
        self,
        client: log.LogClient,
        log_health: health.LogHealth,
        shard_map: shards.ShardMap,
        peers: links.PeerLinks,
        min_interval_s: float,
        full_outcomes: int,
    ) -> None:
        self._client = client
        self._health = log_health
        self._shard_map = shard_map
        self._peers = peers
        self._min_interval_s = min_interval_s
        self._full_outcomes = full_outcomes
        self._shards: dict[int, shard.ClaimShard] = {}
        self._report_sender: trio.MemorySendChannel[records.ClaimRecord]
        self._report_sender, self._report_receiver = trio.open_memory_channel(
            100_000
        )
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the assigned shards and deliver reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._deliver_reports)
            task_status.started()
            while True:
                for number in self._shard_map.list_own():
                    self._ensure_followed(number)
                await trio.sleep(_FOLLOW_CHECK_INTERVAL_S)

    async def settle(self, claim: records.Claim) -> messages.SettleReply:
        """Settle a claim; settling the same claim again is harmless."""
        number = self._shard_map.find_shard(claim.key)
        if number not in self._shards:
            message = messages.SettleClaim(
                shard=number,
                key=claim.key,
                attempt=claim.attempt,
                holder=claim.holder,
                request_digest=claim.request_digest,
            )
            reply = await self._ask_followers(
                number, message, _SETTLE_TIMEOUT_S
            )
            if reply is not None:
                return reply
        return await self._ensure_followed(number).settle(claim)

    async def wait_outcome(
        self, claim: records.Claim, wait_s: float
    ) -> messages.SettleReply:
        """Wait for the outcome of the claim that holds this claim's key.

        Args:
            claim: A claim on the key that did not win.
            wait_s: Longest time to wait, in seconds.
        """
        number = self._shard_map.find_shard(claim.key)
        if number not in self._shards:
            message = messages.WaitOutcome(
                shard=number,
                key=claim.key,
                attempt=claim.attempt,
                request_digest=claim.request_digest,
                wait_s=wait_s,
            )
            reply = await self._ask_followers(
                number, message, wait_s + _REPLY_MARGIN_S
            )
            if reply is not None:
                return reply
        return await self._ensure_followed(number).wait_outcome(claim, wait_s)

    def report(self, record: records.ClaimRecord) -> None:
        """Queue a release or an outcome; it is retried until appended."""
        self._report_sender.send_nowait(record)

    def count_unreported(self) -> int:
        """Return the number of queued records whose delivery has not begun."""
        return self._report_receiver.statistics().current_buffer_used

    def count_keys(self) -> int:
        """Return the number of keys in the tables of the followed shards."""
        return sum(
            len(claim_shard.claims) for claim_shard in self._shards.values()
        )

    async def settle_for_peer(
        self, message: messages.SettleClaim
    ) -> messages.Message:
        """Settle a claim for a peer that does not follow its shard."""
        claim = records.Claim(
            message.key,
            message.attempt,
            message.holder,
            message.request_digest,
        )
        return await self._ensure_followed(message.shard).settle(claim)

    async def wait_for_peer(
        self, message: messages.WaitOutcome
    ) -> messages.Message:
        """Wait for an outcome for a peer that does not follow its shard."""
        claim = records.Claim(
            message.key, message.attempt, "", message.request_digest
        )
        claim_shard = self._ensure_followed(message.shard)
        return await claim_shard.wait_outcome(claim, message.wait_s)

    async def append_for_peer(
        self, message: messages.ReportOutcome
    ) -> messages.Message:
        """Append a release or an outcome that a peer reports."""
        record = records.decode(message.record)
        if record is None:
            return messages.Unavailable("the record cannot be read")
        if await self._ensure_followed(message.shard).append(record):
            return messages.Acknowledged()
        return messages.Unavailable("the log did not answer")

    def _ensure_followed(self, number: int) -> shard.ClaimShard:
        claim_shard = self._shards.get(number)
        if claim_shard is None:
            assert self._nursery is not None, "the claim manager is not running"
            claim_shard = shard.create_shard(
                self._client,
                self._shard_map.name_stream(number),
                self._health,
                self._min_interval_s,
                self._full_outcomes,
            )
            self._shards[number] = claim_shard
            self._nursery.start_soon(claim_shard.run)
            _LOG.write(f"Started to follow claim shard {number}.", shard=number)
        return claim_shard

    async def _ask_followers(
        self,
        number: int,
        message: messages.SettleClaim | messages.WaitOutcome,
        timeout_s: float,
    ) -> messages.SettleReply | None:
        for member in self._shard_map.list_followers(number):
            reply = await self._peers.request(member, message, timeout_s)
            match reply:
                case Result(tag="ok", ok=messages.SettleReply() as settled):
                    return settled
                case _:
                    _LOG.write(f"Daemon {member} did not settle a claim.")
        return None

    async def _deliver_reports(self) -> None:
        limiter = trio.CapacityLimiter(_MAX_PARALLEL_REPORTS)
        async with trio.open_nursery() as nursery:
            async for record in self._report_receiver:
                await limiter.acquire_on_behalf_of(record)
                nursery.start_soon(self._deliver_with_retries, record, limiter)

    async def _deliver_with_retries(
        self, record: records.ClaimRecord, limiter: trio.CapacityLimiter
    ) -> None:
        while not await self._deliver(record):
            await trio.sleep(_REPORT_RETRY_S)
        limiter.release_on_behalf_of(record)

    async def _deliver(self, record: records.ClaimRecord) -> bool:
        number = self._shard_map.find_shard(record.key)
        if number in self._shards:
            return await self._shards[number].append(record)
        message = messages.ReportOutcome(number, records.encode(record))
        for member in self._shard_map.list_followers(number):
            reply = await self._peers.request(
                member, message, _SETTLE_TIMEOUT_S
            )
            match reply:
                case Result(tag="ok", ok=messages.Acknowledged()):
                    return True
                case _:
                    continue
        return await self._ensure_followed(number).append(record)
