"""Encode a partner's configuration as signed chunks and reassemble them."""

from __future__ import annotations

import collections
import dataclasses
import hashlib

import msgspec

from martenquay_core.config import fold, objects, records
from martenquay_core.util import decoding

__all__ = ["Chunk", "SnapshotBuffer", "encode_snapshot", "restore_partner"]

CHUNK_BYTES = 48_000


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """One chunk of a snapshot.

    Attributes:
        partner: Partner whose state it is.
        applied: Highest offset applied to the state.
        index: Index of the chunk, from 0.
        count: Number of chunks.
        digest: SHA-256 of the complete snapshot, in hexadecimal.
        piece: Content of the chunk.
    """

    partner: str
    applied: int
    index: int
    count: int
    digest: str
    piece: bytes


class _Image(msgspec.Struct, frozen=True):
    applied: int
    stored: list[tuple[objects.Kind, str, fold.StoredObject]]
    judged: list[tuple[str, fold.Judgement]]


def encode_snapshot(
    state: fold.PartnerState, signer: records.Signer
) -> list[bytes]:
    """Return the signed chunks of a state, ready to append to the log."""
    image = msgspec.msgpack.encode(
        _Image(
            state.applied,
            [(kind, name, item) for (kind, name), item in state.stored.items()],
            list(state.judged.items()),
        )
    )
    digest = hashlib.sha256(image).hexdigest()
    starts = range(0, len(image), CHUNK_BYTES)
    return [
        signer.sign(
            msgspec.msgpack.encode(
                Chunk(
                    state.partner,
                    state.applied,
                    index,
                    len(starts),
                    digest,
                    image[start : start + CHUNK_BYTES],
                )
            )
        )
        for index, start in enumerate(starts)
    ]


@dataclasses.dataclass
class SnapshotBuffer:
    """Collects chunks until a snapshot is complete.

    Attributes:
        verifier: Verifies the chunks' signatures.
        best: State of the complete snapshot with the highest offset, by
            partner.
    """

    verifier: records.Verifier
    best: dict[str, fold.PartnerState] = dataclasses.field(default_factory=dict)
    _parts: dict[tuple[str, int, str], dict[int, tuple[bytes, bytes]]] = (
        dataclasses.field(default_factory=lambda: collections.defaultdict(dict))
    )
    _whole: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)

    def add(self, raw: bytes) -> None:
        """Add a chunk; ignore it if it is malformed or wrongly signed.

        A chunk must be signed by the partner whose state it holds.
        """
        payload = self.verifier.open(raw)
        if payload is None:
            return
        try:
            chunk = decoding.decode_msgpack(payload.body, Chunk)
        except msgspec.MsgspecError:
            return
        if chunk.partner == payload.partner:
            self._add_chunk(chunk, raw)

    def whole_chunks(self) -> dict[str, list[bytes]]:
        """Return the signed chunks of the snapshots in `best`, by partner."""
        return dict(self._whole)

    def _add_chunk(self, chunk: Chunk, raw: bytes) -> None:
        current = self.best.get(chunk.partner)
        if current is not None and current.applied >= chunk.applied:
            return
        snapshot_id = (chunk.partner, chunk.applied, chunk.digest)
        parts = self._parts[snapshot_id]
        parts[chunk.index] = (chunk.piece, raw)
        if len(parts) < chunk.count:
            return
        ordered = [parts[index] for index in sorted(parts)]
        image = b"".join(piece for piece, _ in ordered)
        del self._parts[snapshot_id]
        if hashlib.sha256(image).hexdigest() == chunk.digest:
            self.best[chunk.partner] = restore_partner(chunk.partner, image)
            self._whole[chunk.partner] = [signed for _, signed in ordered]


def restore_partner(partner: str, image: bytes) -> fold.PartnerState:
    """Decode a complete snapshot image."""
    decoded = decoding.decode_msgpack(image, _Image)
    return fold.PartnerState(
        partner,
        decoded.applied,
        {(kind, name): item for kind, name, item in decoded.stored},
        collections.OrderedDict(decoded.judged),
    )
