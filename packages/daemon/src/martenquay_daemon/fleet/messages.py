"""Define what daemons of a fleet tell each other; msgpack with a tag each."""

from __future__ import annotations

import msgspec

# msgspec reads the annotations when the module is loaded.
from martenquay_daemon.discovery import runner_directory  # noqa: TC001

__all__ = [
    "Digest",
    "DigestBundle",
    "FleetMessage",
    "LeaseNews",
    "LoadLine",
    "StateCopy",
    "WantState",
    "decode_message",
    "encode_message",
]


class LoadLine(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon has at a runner.

    Attributes:
        requests: Requests not answered to their end.
        unread_tokens: Prompt tokens that the runner has still to read.
    """

    requests: int
    unread_tokens: int


class LeaseNews(msgspec.Struct, frozen=True, array_like=True):
    """What the holder of the duties' lease tells candidates.

    Attributes:
        fence: Its fence.
        end: Where the lease's topic ends after its last record.
        left_ms: How much longer it may act because of that record.
    """

    fence: int
    end: int
    left_ms: int


class Digest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one daemon says of itself; a later one replaces it.

    Attributes:
        member: The daemon's id; a restarted process has a new one.
        instance: Its instance.
        zone: Its availability zone.
        address: Where its fleet link listens.
        number: Counts its digests.
        catalog_version: The version in force there.
        runners_end: How far it has read the runners' entries.
        log_age_ms: Since the log last answered it.
        is_leaving: It is stopping.
        lease: What it tells if it holds the duties' lease.
        window: The usage window that is now, by its clock.
        spending: Units spent since it started, by team.
        used: Units spent by all daemons in the allowances' window, by team.
        loads: What it has at runners, by runner id.
        begun: Requests begun, by window and team.
        demand: Prompt tokens a second for engines to read, by service.
    """

    member: str
    instance: str
    zone: str
    address: str
    number: int
    catalog_version: int
    runners_end: int
    log_age_ms: int
    is_leaving: bool
    lease: LeaseNews | None
    window: int
    spending: dict[str, float]
    used: dict[str, float]
    loads: dict[str, LoadLine]
    begun: dict[int, dict[str, int]]
    demand: dict[str, float]


class DigestBundle(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Digests that are news to the receiver.

    Attributes:
        digests: The sender's own first.
    """

    digests: list[Digest]


class WantState(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Ask for what the sender cannot read from the log now.

    Attributes:
        catalog_version: The version that the sender has.
        runners_end: How far it has read the runners' entries.
    """

    catalog_version: int
    runners_end: int


class StateCopy(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Answer `WantState`.

    Attributes:
        catalog: The record of the version in force.
        runners_end: How far the sender has read the runners' entries.
        runners: All entries.
        addresses: Fleet links of other daemons.
    """

    catalog: bytes
    runners_end: int
    runners: list[runner_directory.RunnerCopy]
    addresses: list[str]


FleetMessage = DigestBundle | WantState | StateCopy

_DECODER = msgspec.msgpack.Decoder(FleetMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: FleetMessage) -> bytes:
    """Return the message's bytes."""
    return _ENCODER.encode(message)


def decode_message(raw: bytes) -> FleetMessage:
    """Return the message.

    Raises:
        msgspec.MsgspecError: The bytes hold none.
    """
    return _DECODER.decode(raw)
