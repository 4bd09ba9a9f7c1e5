"""Keep the configuration up to date from the log, or else from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.config import snapshot
from martenquay_core.peers import messages

if TYPE_CHECKING:
    from martenquay_core.config import records
    from martenquay_core.platform import log
    from martenquay_daemon.configuration import store
    from martenquay_daemon.journal import health
    from martenquay_daemon.membership import links, table

__all__ = ["CONFIG_STREAM", "SNAPSHOT_STREAM", "ConfigFollower"]

_LOG = logs.create_log("configuration")
CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"
_LONG_POLL_S = 20.0
_PEER_TIMEOUT_S = 1.0
_RETRY_S = 0.25
# How long the log may lag behind a peer before that peer is asked.
_LOG_DELAY_S = 0.25


class ConfigFollower:
    """Reads configuration records and snapshots into the store.

    Attributes:
        ready: Set once the store has all records up to the end of the log, or
            up to the offset of a peer that answered.
    """

    def __init__(
        self,
        client: log.LogClient,
        log_health: health.LogHealth,
        config: store.ConfigStore,
        verifier: records.Verifier,
        members: table.MemberTable,
        peers: links.PeerLinks,
    ) -> None:
        self.ready = trio.Event()
        self._client = client
        self._health = log_health
        self._config = config
        self._verifier = verifier
        self._members = members
        self._peers = peers

    async def run(self) -> None:
        """Read until cancelled."""
        await self._read_snapshots()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_peers)
            await self._follow_log()

    async def _follow_log(self) -> None:
        while True:
            # Before the first page and after a failure, a long poll would
            # delay `ready` and the end of the outage by up to its wait.
            wait_s = _LONG_POLL_S if self.ready.is_set() else 0.0
            if not self._health.is_up:
                wait_s = 0.0
            page = await self._client.read(
                CONFIG_STREAM, self._config.applied.value + 1, wait_s=wait_s
            )
            if page.is_error():
                self._health.note_failure(page.error.message)
                if not self.ready.is_set():
                    await self._ask_peers(self._list_peers())
                await trio.sleep(_RETRY_S)
                continue
            self._health.note_answer()
            if self._config.can_continue(page.ok.start):
                self._apply_page(page.ok)
            else:
                await self._close_gap(page.ok.start)

    async def _watch_peers(self) -> None:
        """Fetch from peers that are ahead when the log gives no records.

        A log that can't be reached may look like one without new records, so
        the offsets that peers gossip are compared with the one in force here.
        """
        highest = self._members.highest_applied
        while True:
            await highest.wait_beyond(self._config.applied.value)
            with trio.move_on_after(_LOG_DELAY_S):
                await self._config.applied.wait_for(highest.value)
                continue
            applied = self._config.applied.value
            await self._ask_peers(self._members.list_ahead(applied))
            if self._config.applied.value == applied:
                await trio.sleep(_RETRY_S)

    def _apply_page(self, page: log.LogPage) -> None:
        for record in page.records:
            self._config.apply(record.offset, record.payload)
        self._members.announce_applied(self._config.applied.value)
        if self._config.applied.value + 1 >= page.end:
            self.ready.set()

    async def _close_gap(self, start: int) -> None:
        _LOG.write(
            f"The log has no records before {start}; looking for a snapshot."
        )
        await self._read_snapshots()
        if not self._config.can_continue(start):
            await self._ask_peers(self._list_peers())
            await trio.sleep(_RETRY_S)

    async def _read_snapshots(self) -> None:
        """Read the snapshots in the log; apply each partner's newest."""
        buffer = snapshot.SnapshotBuffer(self._verifier)
        offset = 1
        while True:
            page = await self._client.read(SNAPSHOT_STREAM, offset)
            if page.is_error() or not page.ok.records:
                break
            for record in page.ok.records:
                buffer.add(record.payload)
                offset = record.offset + 1
        self._config.apply_snapshots(buffer)
        self._keep_complete_snapshots(buffer)

    def _list_peers(self) -> list[str]:
        """Return all other serving daemons, this daemon's zone first."""
        me = self._members.me
        peers = sorted(
            self._members.list_serving(),
            key=lambda member: member.zone != me.zone,
        )
        return [peer.member for peer in peers if peer.member != me.member]

    async def _ask_peers(self, peers: list[str]) -> None:
        """Fetch the configuration from the first peer that answers."""
        for member in peers:
            message = messages.FetchConfig(self._config.applied.value + 1)
            reply = await self._peers.request(member, message, _PEER_TIMEOUT_S)
            match reply:
                case Result(tag="ok", ok=messages.ConfigReply() as found):
                    self._apply_reply(member, found)
                    return
                case _:
                    continue

    def _apply_reply(self, peer: str, reply: messages.ConfigReply) -> None:
        before = self._config.applied.value
        if reply.chunks:
            buffer = snapshot.SnapshotBuffer(self._verifier)
            for chunk in reply.chunks:
                buffer.add(chunk)
            self._config.apply_snapshots(buffer)
            self._keep_complete_snapshots(buffer)
        first = reply.records[0][0] if reply.records else reply.applied + 1
        if not self._config.can_continue(first):
            return
        for offset, raw in reply.records:
            self._config.apply(offset, raw)
        self._members.announce_applied(self._config.applied.value)
        if self._config.applied.value >= reply.applied > 0:
            self.ready.set()
        if self._config.applied.value > before:
            _LOG.write(
                f"Applied the configuration up to {self._config.applied.value} "
                f"from peer {peer}, as the log did not deliver it."
            )

    def _keep_complete_snapshots(self, buffer: snapshot.SnapshotBuffer) -> None:
        for partner, chunks in buffer.whole_chunks().items():
            applied = buffer.best[partner].applied
            self._config.keep_chunks(partner, applied, chunks)
