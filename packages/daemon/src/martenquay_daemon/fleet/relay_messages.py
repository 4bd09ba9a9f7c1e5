"""Define the messages that pass records of the log between daemons."""

from __future__ import annotations

import msgspec

__all__ = ["RelayedRecord", "RelayedRecords", "StreamOrigins"]


class RelayedRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a keyed topic.

    Attributes:
        offset: Offset in the topic.
        key: Key of the record.
        value: Content; None if the record deletes the key.
    """

    offset: int
    key: str
    value: bytes | None


class RelayedRecords(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Records of the crash topic that a hub has read.

    Attributes:
        start: Offset up to which the receiver must hold the topic to use the
            records.
        end: Offset up to which the hub holds the topic.
        records: The records between both; none if the message only shows that
            the hub follows the topic.
    """

    start: int
    end: int
    records: list[RelayedRecord]


class StreamOrigins(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """The versions that began streams at the sender.

    Attributes:
        record: As in the topic of origins; see `origins.records`.
    """

    record: bytes
