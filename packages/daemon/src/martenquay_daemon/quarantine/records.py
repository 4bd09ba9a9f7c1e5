"""Encode and decode crash records of a keyed log topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from martenquay_daemon.quarantine import crash_table

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["CrashDetails", "decode_crash", "encode_crash", "encode_removal"]

_SEPARATOR = "."


class CrashDetails(msgspec.Struct, frozen=True):
    """Details of a crash for those who look for its cause.

    Attributes:
        service: The service of the runner that ended.
        route: The request's route.
    """

    service: str
    route: str


def encode_crash(
    log: ports.LogPort, crash: crash_table.CrashRecord, details: CrashDetails
) -> bytes:
    """Return the payload that adds a crash record.

    Each record has its own key: daemons that write at the same time don't
    overwrite each other's records, and a repeated write changes nothing.
    """
    return log.join_keyed(_join_key(crash), msgspec.json.encode(details))


def encode_removal(log: ports.LogPort, crash: crash_table.CrashRecord) -> bytes:
    """Return the payload that removes a crash record."""
    return log.join_keyed(_join_key(crash), b"")


def decode_crash(record: ports.KeyedRecord) -> crash_table.CrashRecord:
    """Return the crash record that a log record adds or removes.

    Raises:
        ValueError: The key has not the form CONTENT.NUMBER.RUNNER.
    """
    content, number, runner = [*record.key.split(_SEPARATOR, 2), "", ""][:3]
    if not content or not number.isdecimal() or not runner:
        raise ValueError(f"key {record.key!r} is not CONTENT.NUMBER.RUNNER")
    return crash_table.CrashRecord(content, int(number), runner)


def _join_key(crash: crash_table.CrashRecord) -> str:
    fields = [crash.content, str(crash.number), crash.runner]
    return _SEPARATOR.join(fields)
