"""Publish signed snapshots before the log drops the records in them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.config import fold, snapshot
from martenquay_core.util import rendezvous
from martenquay_daemon.configuration import follower

if TYPE_CHECKING:
    from martenquay_core.config import records
    from martenquay_core.platform import log
    from martenquay_daemon.configuration import store
    from martenquay_daemon.membership import table

__all__ = ["SnapshotPublisher"]

_LOG = logs.create_log("configuration")


class SnapshotPublisher:
    """Publishes snapshots of this partner's configuration at intervals.

    A daemon's interval grows with its rendezvous rank among the partner's
    serving daemons, so the first one publishes most often. Two snapshots of the
    same state are harmless.
    """

    def __init__(
        self,
        client: log.LogClient,
        config: store.ConfigStore,
        signer: records.Signer,
        members: table.MemberTable,
        interval_s: float,
    ) -> None:
        self._client = client
        self._config = config
        self._signer = signer
        self._members = members
        self._interval_s = interval_s

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await trio.sleep(self._interval_s * (1 + self._rank()))
            if self._config.applied.value > 0:
                await self.publish()

    async def publish(self) -> bool:
        """Publish one snapshot; return whether the log confirmed it."""
        state = self._config.state.partners[self._signer.partner]
        applied = state.applied
        digest = fold.digest_partner(state)
        chunks = snapshot.encode_snapshot(state, self._signer)
        result = await self._client.append(follower.SNAPSHOT_STREAM, chunks)
        # Signed, so valid for peers even if the append failed or its answer was
        # lost.
        self._config.keep_chunks(self._signer.partner, applied, chunks)
        if result.is_error():
            _LOG.write(f"Snapshot not published: {result.error.message}.")
            return False
        _LOG.write(
            f"Published a snapshot up to {applied}.",
            offset=applied,
            digest=digest,
            chunks=len(chunks),
        )
        return True

    def _rank(self) -> int:
        names = [
            member.member
            for member in self._members.list_serving(self._signer.partner)
        ]
        ranked = rendezvous.rank_candidates("snapshots", names)
        me = self._members.me.member
        return ranked.index(me) if me in ranked else len(ranked)
