"""Settings of a daemon, validated when they are read."""

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
    """Addresses that the daemon listens on; port 0 picks a free port.

    Attributes:
        callers: Address for callers' HTTP requests.
        operators: Address for operators' HTTP requests.
        peers: Address for connections from other daemons.
    """

    callers: Address
    operators: Address
    peers: Address


class PlatformSettings(_Strict):
    """URLs of the platform's services.

    Attributes:
        log: URL of the log service.
        instances: URL of the instance list and the reclaim notices.
        log_retention_s: Seconds that the log retains a record.
    """

    log: Url
    instances: Url
    log_retention_s: Seconds = 86_400.0


class PartnerSettings(_Strict):
    """One partner.

    Attributes:
        name: Name of the partner.
        zones: Its availability zones.
        public_key: Ed25519 key in hexadecimal that verifies its changes.
    """

    name: Name
    zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    public_key: HexKey


class OperatorSettings(_Strict):
    """One operator of the daemon's partner.

    Attributes:
        name: Name of the operator.
        credential: Digest of the operator's credential.
    """

    name: Name
    credential: Digest


class LimitSettings(_Strict):
    """Limits for callers' requests and for one daemon's work.

    Attributes:
        body_bytes: Maximum size of a request body.
        header_bytes: Maximum size of a request's headers.
        body_timeout_s: Seconds until a body must be complete.
        memory_mb: Memory of the instance in MB. What callers' bodies may hold
            is derived from it.
        retry_share: Maximum retries as a share of all attempts.
        claim_shards: Number of streams that claims are sharded over.
        work_shards: Number of streams that deferrable requests are sharded
            over.
        shard_followers: Number of daemons that follow each of these streams.
        full_outcomes: Answers kept in memory for each claim stream.
        deferrable_workers: Deferrable requests that a daemon processes
            concurrently.
    """

    body_bytes: Count = 1_000_000
    header_bytes: Count = 32_768
    body_timeout_s: Seconds = 10.0
    memory_mb: Annotated[float, pydantic.Field(gt=0)] = 200.0
    retry_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    claim_shards: Annotated[int, pydantic.Field(ge=1, le=256)] = 4
    work_shards: Annotated[int, pydantic.Field(ge=1, le=256)] = 4
    shard_followers: Annotated[int, pydantic.Field(ge=1, le=16)] = 3
    full_outcomes: Count = 2000
    deferrable_workers: Count = 4


class TimingSettings(_Strict):
    """Intervals and timeouts, in seconds.

    Attributes:
        heartbeat_s: Interval between heartbeats to another daemon.
        suspect_after_s: Time without a heartbeat until a daemon is suspected.
        dead_after_s: Further time until it counts as dead.
        list_poll_s: Poll interval of the instance list.
        load_poll_s: Poll interval of an engine's load.
        commit_s: Minimum interval between appends to one stream.
        log_timeout_s: Timeout of a call to the log.
        spread_s: Timeout of `--wait` for all availability zones.
        snapshot_s: Interval between snapshots of the configuration.
        drain_notice_s: Time in which a draining daemon, reported as not
            ready, still accepts connections.
        drain_limit_s: Time for requests in progress after that.
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
        partner: Partner that runs this daemon.
        zone: Availability zone.
        instance: Name in the instance list.
        listen: Addresses to listen on.
        platform: URLs of the platform's services.
        partners: All partners.
        signing_key: Private key of `partner`, in hexadecimal.
        operators: Operators that may send commands to this daemon.
        seeds: Addresses of other daemons to try before the instance list is
            known.
        limits: Limits for requests and work.
        timing: Intervals and timeouts.
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
        """Refuse a partner or zone that `partners` does not contain."""
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
