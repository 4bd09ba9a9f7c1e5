"""Define what a daemon's settings may hold, checked when they are read."""

from __future__ import annotations

from typing import Annotated

import pydantic

from martenquay_core.config import objects
from martenquay_core.util import credentials

__all__ = [
    "DaemonSettings",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "PartnerSettings",
    "PlatformSettings",
    "TimingSettings",
]

Name = Annotated[str, pydantic.Field(pattern=objects.NAME_PATTERN)]
Digest = Annotated[str, pydantic.Field(pattern=credentials.DIGEST_PATTERN)]
HexKey = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Url = Annotated[str, pydantic.Field(pattern=r"^http://[0-9.]+:[0-9]{1,5}$")]
Seconds = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(ge=1)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Strict):
    """Where the daemon listens; port 0 lets the system choose.

    Attributes:
        callers: For callers' HTTP.
        operators: For operators' HTTP.
        peers: For links from other daemons.
    """

    callers: Address
    operators: Address
    peers: Address


class PlatformSettings(_Strict):
    """Where the platform's services are.

    Attributes:
        log: The log service.
        instances: The instance list and the reclaim notices.
        log_retention_s: Seconds for which the log keeps a record.
    """

    log: Url
    instances: Url
    log_retention_s: Seconds = 86_400.0


class PartnerSettings(_Strict):
    """One partner.

    Attributes:
        name: Its name.
        zones: Its availability zones.
        public_key: What its changes are checked with.
    """

    name: Name
    zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    public_key: HexKey


class OperatorSettings(_Strict):
    """One operator of the daemon's partner.

    Attributes:
        name: Its name.
        credential: Digest of its credential.
    """

    name: Name
    credential: Digest


class LimitSettings(_Strict):
    """Bounds on what one caller or one daemon may take.

    Attributes:
        body_bytes: The largest request body.
        header_bytes: The largest request head.
        body_timeout_s: Seconds in which a body has to arrive.
        retry_share: Retries as a share of all calls, at most.
        claim_shards: Streams over which claims are spread.
        work_shards: Streams over which deferrable work is spread.
        shard_followers: Daemons that follow each of these streams.
        full_outcomes: Outcomes of calls kept in memory, for each stream.
        deferrable_workers: Deferrable requests one daemon works on at once.
    """

    body_bytes: Count = 1_000_000
    header_bytes: Count = 32_768
    body_timeout_s: Seconds = 10.0
    retry_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    claim_shards: Annotated[int, pydantic.Field(ge=1, le=256)] = 4
    work_shards: Annotated[int, pydantic.Field(ge=1, le=256)] = 4
    shard_followers: Annotated[int, pydantic.Field(ge=1, le=16)] = 3
    full_outcomes: Count = 2000
    deferrable_workers: Count = 4


class TimingSettings(_Strict):
    """How often things happen and how long they may take.

    Attributes:
        heartbeat_s: Between two heartbeats on a link.
        suspect_after_s: Silence after which a daemon is suspected.
        dead_after_s: Further silence after which it counts as dead.
        list_poll_s: Between two readings of the instance list.
        load_poll_s: Between two readings of an engine's load.
        commit_s: At least this long between two appends to one stream.
        log_timeout_s: How long one call to the log may take.
        spread_s: How long `--wait` waits for every availability zone.
        snapshot_s: Between two snapshots of the configuration.
        drain_notice_s: Between unreadiness and the last new connection.
        drain_limit_s: How long requests in progress may take after that.
    """

    heartbeat_s: Seconds = 1.0
    suspect_after_s: Seconds = 3.0
    dead_after_s: Seconds = 5.0
    list_poll_s: Seconds = 1.0
    load_poll_s: Seconds = 0.5
    commit_s: Seconds = 0.01
    log_timeout_s: Seconds = 2.0
    spread_s: Seconds = 18.0
    snapshot_s: Seconds = 600.0
    drain_notice_s: Seconds = 2.0
    drain_limit_s: Seconds = 120.0


class DaemonSettings(_Strict):
    """All settings of one daemon.

    Attributes:
        partner: Whose entry instance this is.
        zone: Its availability zone.
        instance: Its name in the instance list.
        listen: Where it listens.
        platform: Where the platform is.
        partners: All partners.
        signing_key: The private key of this daemon's partner.
        operators: Who may give commands here.
        seeds: Peer addresses to try before the instance list is known.
        limits: Bounds.
        timing: Times.
    """

    partner: Name
    zone: Name
    instance: Name
    listen: ListenSettings
    platform: PlatformSettings
    partners: Annotated[list[PartnerSettings], pydantic.Field(min_length=1)]
    signing_key: HexKey
    operators: list[OperatorSettings] = []
    seeds: list[Address] = []
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()

    @pydantic.model_validator(mode="after")
    def check_place(self) -> DaemonSettings:
        """Refuse a partner or zone that `partners` does not list."""
        for partner in self.partners:
            if partner.name == self.partner:
                if self.zone in partner.zones:
                    return self
                raise ValueError(
                    f"zone {self.zone!r} is none of {self.partner}'s zones: "
                    + ", ".join(partner.zones)
                )
        names = ", ".join(partner.name for partner in self.partners)
        raise ValueError(f"partner {self.partner!r} is none of: {names}")

    def find_zones(self) -> list[str]:
        """Return the availability zones of all partners."""
        return [zone for partner in self.partners for zone in partner.zones]
