"""Write strikes into a keyed topic of the platform's log and read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from martenquay_daemon.quarantine import strikes

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["Crash", "decode_crash", "encode_crash", "encode_end"]

_SEPARATOR = "."


class Crash(msgspec.Struct, frozen=True):
    """What a strike's record tells people who look for its cause.

    Attributes:
        service: The service of the runner that ended.
        route: The request's route.
    """

    service: str
    route: str


def encode_crash(
    log: ports.LogPort, strike: strikes.CrashRecord, crash: Crash
) -> bytes:
    """Return the payload that puts a strike into force.

    Each strike has a key of its own: daemons that write at the same time add
    to each other's, and the same one twice counts once.
    """
    return log.join_keyed(_join_key(strike), msgspec.json.encode(crash))


def encode_end(log: ports.LogPort, strike: strikes.CrashRecord) -> bytes:
    """Return the payload that takes a strike back."""
    return log.join_keyed(_join_key(strike), b"")


def decode_crash(record: ports.KeyedRecord) -> strikes.CrashRecord:
    """Return the strike that a record is about.

    Raises:
        ValueError: The key names none.
    """
    content, number, runner = [*record.key.split(_SEPARATOR, 2), "", ""][:3]
    if not content or not number.isdecimal() or not runner:
        raise ValueError(f"{record.key!r} names no strike")
    return strikes.CrashRecord(content, int(number), runner)


def _join_key(strike: strikes.CrashRecord) -> str:
    words = [strike.content, str(strike.number), strike.runner]
    return _SEPARATOR.join(words)
