"""Hold the configuration in force, and what peers need to catch up."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.config import fold, objects, snapshot
from martenquay_core.peers import messages
from martenquay_core.util import progress

if TYPE_CHECKING:
    from martenquay_core.config import records

__all__ = ["ConfigStore"]

_LOG = logs.create_log("configuration")


class ConfigStore:
    """The configuration in force.

    Also keeps the newest signed snapshots and each encoded record after them,
    so that a peer that can't read the log can verify and apply them itself.

    Attributes:
        state: The state of all partners, with all records applied.
        applied: Offset of the last applied record; it never falls.
    """

    def __init__(self, partners: list[str], verifier: records.Verifier) -> None:
        self.state = fold.create_state(partners)
        self.applied = progress.Progress()
        self._verifier = verifier
        self._recent_records: collections.deque[tuple[int, bytes]] = (
            collections.deque()
        )
        self._snapshot_chunks: dict[str, list[bytes]] = {}
        self._snapshot_offsets = dict.fromkeys(partners, 0)
        self._checked_objects: dict[
            objects.ObjectKey, tuple[int, objects.ConfigObject]
        ] = {}

    def apply(self, offset: int, raw: bytes) -> fold.Judgement | None:
        """Apply the next record; one already applied changes nothing.

        Returns:
            The verdict on the record; None if it was already applied or is not
            validly signed.
        """
        if offset <= self.applied.value:
            return None
        judgement = fold.apply_record(self.state, offset, raw, self._verifier)
        self._recent_records.append((offset, raw))
        self.applied.advance(offset)
        verdict = judgement.verdict.value if judgement else "not signed"
        _LOG.write(
            f"Record {offset}: {verdict}.",
            offset=offset,
        )
        return judgement

    def can_continue(self, start: int) -> bool:
        """Return whether records from this offset on leave no gap."""
        return start <= self.state.applied + 1

    def apply_snapshots(self, buffer: snapshot.SnapshotBuffer) -> None:
        """Replace the state of each partner that has a newer snapshot."""
        for partner, newer in buffer.best.items():
            current = self.state.partners.get(partner)
            if current is None or newer.applied <= current.applied:
                continue
            self.state.partners[partner] = newer
            self._checked_objects.clear()
            _LOG.write(
                f"Applied {partner}'s snapshot up to {newer.applied}.",
                partner=partner,
                offset=newer.applied,
            )
        self.applied.advance(self.state.applied)

    def keep_chunks(
        self, partner: str, applied: int, chunks: list[bytes]
    ) -> None:
        """Keep a signed snapshot for peers and drop the records it covers.

        Args:
            partner: The snapshot's partner.
            applied: Offset of the last record in the snapshot.
            chunks: All signed chunks of the snapshot.
        """
        if applied <= self._snapshot_offsets[partner]:
            return
        self._snapshot_chunks[partner] = chunks
        self._snapshot_offsets[partner] = applied
        covered = min(self._snapshot_offsets.values())
        while self._recent_records and self._recent_records[0][0] <= covered:
            self._recent_records.popleft()

    def snapshot_offset(self, partner: str) -> int:
        """Return the offset of the newest kept snapshot, 0 for none."""
        return self._snapshot_offsets[partner]

    def serve_peer(self, from_offset: int) -> messages.ConfigReply:
        """Return what a peer lacks: records, and snapshots if needed.

        Args:
            from_offset: The first offset that the peer has not applied.
        """
        first = (
            self._recent_records[0][0]
            if self._recent_records
            else self.applied.value + 1
        )
        chunks: list[bytes] = []
        if from_offset < first:
            chunks = [
                piece
                for kept in self._snapshot_chunks.values()
                for piece in kept
            ]
        records_after = [
            (offset, raw)
            for offset, raw in self._recent_records
            if offset >= from_offset
        ]
        if chunks:
            records_after = list(self._recent_records)
        return messages.ConfigReply(chunks, records_after, self.applied.value)

    async def wait_applied(
        self, offset: int, wait_s: float
    ) -> messages.AppliedReply:
        """Wait until an offset is applied, at most `wait_s` seconds.

        Returns:
            The reply to a peer, with the offset in force.
        """
        with trio.move_on_after(wait_s):
            await self.applied.wait_for(offset)
        return messages.AppliedReply(self.applied.value)

    def find_team(self, partner: str, name: str) -> objects.Team | None:
        """Return a team, None if there is none of that name."""
        key = objects.ObjectKey(partner, objects.Kind.TEAM, name)
        found = self.find(key)
        return found if isinstance(found, objects.Team) else None

    def find_route(self, partner: str, name: str) -> objects.Route | None:
        """Return a route, None if there is none of that name."""
        key = objects.ObjectKey(partner, objects.Kind.ROUTE, name)
        found = self.find(key)
        return found if isinstance(found, objects.Route) else None

    def find_pool(self, partner: str, name: str) -> objects.Pool | None:
        """Return a pool, None if there is none of that name."""
        key = objects.ObjectKey(partner, objects.Kind.POOL, name)
        found = self.find(key)
        return found if isinstance(found, objects.Pool) else None

    def find(self, key: objects.ObjectKey) -> objects.ConfigObject | None:
        """Return an object, or None if it is missing or invalid.

        Each version of an object is decoded and checked once.
        """
        stored = self.state.find(key)
        if stored is None:
            return None
        kept = self._checked_objects.get(key)
        if kept is not None and kept[0] == stored.version:
            return kept[1]
        checked = objects.check_object(key.kind, stored.fields)
        if checked.is_error():
            return None
        self._checked_objects[key] = (stored.version, checked.ok)
        return checked.ok

    def list_objects(
        self, partner: str, kind: objects.Kind
    ) -> list[tuple[str, objects.ConfigObject]]:
        """Return a partner's valid objects of a kind with their names."""
        found = []
        for key, _ in self.state.iterate(kind):
            typed = self.find(key) if key.partner == partner else None
            if typed is not None:
                found.append((key.name, typed))
        return found
