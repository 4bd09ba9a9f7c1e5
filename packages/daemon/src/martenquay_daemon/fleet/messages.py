"""Define the msgpack messages that the daemons of a fleet exchange."""

from __future__ import annotations

import enum
import sys
from typing import Annotated, Any

import msgspec

from martenquay_core import logs
from martenquay_core.util import decoding

# msgspec evaluates the annotations when the module is loaded.
from martenquay_daemon.discovery import runner_entries  # noqa: TC001
from martenquay_daemon.fleet import (
    relay_messages,
    speed_entries,  # noqa: TC001
)
from martenquay_daemon.overload import messages as overload  # noqa: TC001

__all__ = [
    "NO_WINDOW",
    "NO_RUNNER_REPORTS",
    "Digest",
    "DigestMessage",
    "FleetMessage",
    "FleetReport",
    "TransferEntry",
    "DelegationEntry",
    "LeaseStatus",
    "LimitEntry",
    "LoadEntry",
    "RolloutOrderEntry",
    "LotEntry",
    "PeerEntry",
    "BalanceEntry",
    "PrefillEntry",
    "RunnerReports",
    "TallyEntry",
    "StateReply",
    "TrialEntry",
    "QuotaUpdate",
    "QuotaReply",
    "QuotaVerdict",
    "StateRequest",
    "QuotaRequest",
    "ZoneExchange",
    "ZoneSummary",
    "decode_message",
    "encode_message",
]


# NaN and infinities would stay in the sums of all daemons.
FiniteFloat = Annotated[
    float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)
]
Count = Annotated[int, msgspec.Meta(ge=0)]
# Earlier than any usage window: marks a summary without request counts.
NO_WINDOW = 0


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """Load that one daemon has at one runner.

    Attributes:
        requests: Requests in progress.
        unread_tokens: Prompt tokens that the runner has not prefilled yet.
    """

    requests: int
    unread_tokens: int


class LimitEntry(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that a runner reported in an answer.

    Attributes:
        limit: Requests a second from all daemons; None if there is no limit.
        born_ms: Start time of the reporting process, as in the runner's
            entry.
        sent_ms: Age of the answered request, from when it was sent.
        heard_ms: Age of the answer, from when it was received.
    """

    limit: FiniteFloat | None
    born_ms: int | None
    sent_ms: int
    heard_ms: int


class RunnerReports(msgspec.Struct, frozen=True, array_like=True):
    """Limits and drains that runners reported in answers.

    Attributes:
        limits: Reported rate limits, by runner id.
        leaving: Start time in ms of each process that reported that it is
            draining, by runner id; None if unknown.
    """

    limits: dict[str, LimitEntry]
    leaving: dict[str, int | None]


NO_RUNNER_REPORTS = RunnerReports({}, {})


class PrefillEntry(msgspec.Struct, frozen=True, array_like=True):
    """Regression sums of a service's prefill speed.

    Attributes:
        results: Number of times to first token in the sums.
        spread: As in `engines.model.PrefillSums`.
        slowing_ms: As `slowing` there, with times in milliseconds.
    """

    results: int
    spread: int
    slowing_ms: int


class RolloutOrderEntry(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order to roll a service out to a version.

    Attributes:
        service: Name of the service.
        version: Version to roll out.
        duration_s: Time limit for the decision.
        offset: Offset of the order in the operators' topic.
    """

    service: str
    version: str
    duration_s: FiniteFloat
    offset: int


class TallyEntry(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes on one route of one side of a canary trial.

    Attributes:
        answers: Requests that were answered or broke off.
        failures: Failed requests among these.
        timed: Successful answers with a measured latency.
        log_sum: Sum of the logarithms of their latencies in seconds.
        log_squares: Sum of the squares of these logarithms.
    """

    answers: Count
    failures: Count
    timed: Count
    log_sum: FiniteFloat
    log_squares: FiniteFloat


class TrialEntry(msgspec.Struct, frozen=True, array_like=True):
    """Canary results of a service.

    Attributes:
        order: Offset of the operator's rollout order.
        routes: Outcomes of the old versions and of the new one, by route.
    """

    order: int
    routes: dict[str, tuple[TallyEntry, TallyEntry]]


class LeaseStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of the duties' lease, gossiped by its holder.

    Attributes:
        fence: Fencing token of the holder.
        end: Offset after the last record of the lease's topic.
        left_ms: Remaining validity of the lease.
    """

    fence: int
    end: int
    left_ms: int


class BalanceEntry(msgspec.Struct, frozen=True, array_like=True):
    """Quota balance of one team at one daemon.

    Attributes:
        level: Units that may be spent; negative if overdrawn.
        asked: Demand in units a second.
        needed: Units missing for requests that wait there.
        overdraft: How far below 0 the level may go.
    """

    level: int
    asked: int
    needed: int
    overdraft: int


class LotEntry(msgspec.Struct, frozen=True, array_like=True):
    """Quota units with one expiry, in a transfer.

    Attributes:
        units: Number of units.
        life_ms: Time until they expire.
    """

    units: FiniteFloat
    life_ms: int


class TransferEntry(msgspec.Struct, frozen=True, array_like=True):
    """Quota transferred from one daemon to another.

    Attributes:
        heard: Number of the receiver's last quota update that the sender had
            received; the lots' lifetimes count from when it was sent.
        lots: Transferred units, by team.
    """

    heard: int
    lots: dict[str, list[LotEntry]]


class DelegationEntry(msgspec.Struct, frozen=True, array_like=True):
    """Time-limited delegation of a share of all teams' refill rates.

    Attributes:
        receiver: Member id of the hub that may use the share.
        heard: Number of the hub's last report that the sender had received;
            `ends_ms` counts from when it was sent.
        part: The delegated share, from 0 to 1.
        starts_ms: Time until the delegation begins.
        ends_ms: Time until the delegation ends.
    """

    receiver: str
    heard: int
    part: FiniteFloat
    starts_ms: int
    ends_ms: int


class Digest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of one daemon; replaces its earlier digests.

    Attributes:
        member: Member id; each process of an instance has its own.
        instance: Name of its instance.
        zone: Its availability zone.
        address: Address of its fleet link.
        number: Sequence number of the digest.
        catalog_version: Version of the catalog in force there.
        runners_changed: Offset up to which it has applied changed runner
            entries; mere heartbeats do not advance it.
        log_age_ms: Time since the log last answered it.
        capacity: Bandwidth of its instance's link in Mbit/s; the daemons
            with the most are elected hubs.
        is_leaving: It is shutting down.
        lease: State of the duties' lease, if it holds the lease.
        window: Number of the current usage window, by its clock.
        delegation: Delegation of its share of the teams' refill rates, if any.
        members_end: Offset up to which its own share accounts for the
            members' announcements.
        loads: Its load at runners, by runner id.
        begun: Requests started, by usage window and team.
        demand: Uncached prompt tokens a second, by service.
        reading: Prefill sums of its results, by service.
        trials: Canary results, by service.
        orders: Rollout orders that it has learnt of recently.
        runner_reports: Limits and drains that runners reported to it.
        speeds: Its evidence on engines' speeds, by runner id.
        backlog: Its prompts that wait for a first event, by service and
            urgency.
    """

    member: str
    instance: str
    zone: str
    address: str
    number: int
    catalog_version: int
    runners_changed: int
    log_age_ms: int
    capacity: FiniteFloat
    is_leaving: bool
    lease: LeaseStatus | None
    window: int
    delegation: DelegationEntry | None
    members_end: int
    loads: dict[str, LoadEntry]
    begun: dict[int, dict[str, int]]
    demand: dict[str, FiniteFloat]
    reading: dict[str, PrefillEntry]
    trials: dict[str, TrialEntry]
    orders: list[RolloutOrderEntry]
    runner_reports: RunnerReports
    speeds: dict[str, speed_entries.SpeedEntry] = {}
    backlog: overload.BacklogTable = {}


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Aggregated digests of a zone; replaces the hub's earlier summaries.

    Attributes:
        zone: The availability zone.
        hub: Member id of the hub that aggregated it.
        instance: Name of the hub's instance.
        address: Address of the hub's fleet link.
        number: Sequence number of the summary.
        daemons: Number of daemons in the sums.
        catalog_version: Version of the catalog in force at the hub.
        runners_changed: As in the hub's digest.
        runners_age_ms: Time since the hub's runner entries were known to be
            complete.
        log_age_ms: Time since the log last answered the hub.
        lease: State of the duties' lease, if a daemon of the zone holds it.
        lease_member: Member id of the lease's holder.
        leaving: Member ids of the daemons that are shutting down.
        window: Earliest current usage window of the zone's daemons;
            `NO_WINDOW` where `begun` is left out.
        members_end: Least offset up to which the zone's listed daemons
            account for announcements, as far as the hub knows.
        begun: Requests started, by usage window and team; empty for
            receivers that do not need it.
        demand: Uncached prompt tokens a second, by service; empty
            for receivers that do not need it.
        reading: Prefill sums of the zone's results, by service; empty in
            reports, which hold the sum over all zones.
        trials: Canary results, by service; empty for receivers that do not
            need them.
        backlog: Prompts of the zone that wait for a first event, by service
            and urgency; empty for receivers that need only the report's sum
            over all zones.
    """

    zone: str
    hub: str
    instance: str
    address: str
    number: int
    daemons: int
    catalog_version: int
    runners_changed: int
    runners_age_ms: int
    log_age_ms: int
    lease: LeaseStatus | None
    lease_member: str
    leaving: list[str]
    window: int
    members_end: int
    begun: dict[int, dict[str, int]]
    demand: dict[str, FiniteFloat]
    reading: dict[str, PrefillEntry]
    trials: dict[str, TrialEntry]
    backlog: overload.BacklogTable = {}


class DigestMessage(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """A daemon's digest, sent to its hubs or, in a mesh, to all daemons.

    Attributes:
        digest: The sender's newest digest.
    """

    digest: Digest


class ZoneExchange(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """State of a zone, sent by its hub to the hubs of other zones.

    Attributes:
        summary: Summary of the sender's zone.
        loads: Load of the zone's daemons at runners, by runner id.
        runner_reports: Limits and drains of runners known to the hub.
        speeds: Evidence of the zone's daemons on engines' speeds, by runner id.
    """

    summary: ZoneSummary
    loads: dict[str, LoadEntry]
    runner_reports: RunnerReports
    speeds: dict[str, speed_entries.SpeedEntry] = {}


class FleetReport(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """State of the fleet, sent by a hub to a daemon of its zone.

    Attributes:
        hub: Member id of the hub.
        zones: Summaries of all zones, that of the own zone first and without
            the receiver.
        loads: Load of all other daemons at runners, by runner id.
        heard: Number of the receiver's last digest that the hub had; 0 if it
            had none.
        number: Sequence number of the hub's round of reports.
        reading: Prefill sums of all other daemons, by service.
        orders: Rollout orders that the hub has learnt of recently.
        runner_reports: Limits and drains of runners known to the hub.
        speeds: Evidence of all other daemons on engines' speeds, by runner id.
        backlog: Prompts of all other daemons that wait for a first event, by
            service and urgency.
    """

    hub: str
    zones: list[ZoneSummary]
    loads: dict[str, LoadEntry]
    heard: int
    number: int
    reading: dict[str, PrefillEntry]
    orders: list[RolloutOrderEntry]
    runner_reports: RunnerReports
    speeds: dict[str, speed_entries.SpeedEntry] = {}
    backlog: overload.BacklogTable = {}


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Address of a daemon.

    Attributes:
        address: Address of its fleet link.
        zone: Its availability zone; empty if unknown.
        capacity: Link bandwidth in Mbit/s, as in its digest.
    """

    address: str
    zone: str
    capacity: FiniteFloat


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Request for the catalog and runner entries that the sender lacks.

    Attributes:
        catalog_version: Version of the catalog in force at the sender.
        runners_end: Offset up to which the sender has the runner entries.
        number: Number of the request, unique for the sender.
    """

    catalog_version: int
    runners_end: int
    number: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Answer to a `StateRequest`, with what the requester lacks.

    Attributes:
        catalog: Compressed record of the catalog in force; empty if the
            requester's is as new.
        runners_end: Offset up to which the sender has the runner entries.
        runners: Entries that changed since the requester's offset.
        runner_ids: Ids of all runners that have an entry.
        peers: Addresses of other daemons.
        runners_age_ms: Time since the sender's runner entries were known to
            be complete.
        regained_ms: Time since the log answered the sender again after an
            outage.
        number: Number of the request.
    """

    catalog: bytes
    runners_end: int
    runners: list[runner_entries.RunnerCopy]
    runner_ids: list[str]
    peers: list[PeerEntry]
    runners_age_ms: int
    regained_ms: int
    number: int


class QuotaUpdate(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Quota balances and transfers, sent to other daemons that hold quota.

    Attributes:
        member: Member id of the sender.
        address: Address of the sender's fleet link.
        number: Sequence number of the update.
        balances: The sender's balances, by team.
        transfers: Quota handed to other daemons, by their member id.
    """

    member: str
    address: str
    number: int
    balances: dict[str, BalanceEntry]
    transfers: dict[str, TransferEntry]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Request to a daemon that holds quota to spend some.

    Attributes:
        number: Number of the request, unique for the sender.
        team: Name of the team whose quota is to be spent.
        units: Units to spend.
        reserve: Priority levels to leave room for; 0 for the most urgent.
        is_late: It is a caller's retry and can no longer meet its deadline.
        is_redirected: Another daemon has named the receiver as holder.
    """

    number: int
    team: str
    units: FiniteFloat
    reserve: int
    is_late: bool
    is_redirected: bool


class QuotaVerdict(enum.IntEnum):
    """Outcome of a quota request."""

    GRANTED = 0
    REFUSED = 1
    # The receiver waits for transfers; a second reply follows.
    WAITING = 2
    # The receiver holds no share of the rates; the sender asks another hub.
    PASSED = 3
    # The reply names another daemon that holds the missing units.
    REDIRECTED = 4


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to a `QuotaRequest`.

    Attributes:
        number: Number of the request.
        verdict: Outcome of the request.
        retry_s: When the caller should retry, if the request is refused.
        holder: Address of the daemon to ask, if redirected.
        member: Member id of the daemon that decided.
        there: Units that may be spent at that daemon.
        owed: Overdrawn units at that daemon.
        part: Share of the team's refill rate that it uses.
        asked: Demand there, in units a second.
    """

    number: int
    verdict: QuotaVerdict
    retry_s: float = 0.0
    holder: str = ""
    member: str = ""
    there: float = 0.0
    owed: float = 0.0
    part: float = 0.0
    asked: float = 0.0


FleetMessage = (
    DigestMessage
    | ZoneExchange
    | FleetReport
    | StateRequest
    | StateReply
    | QuotaUpdate
    | QuotaRequest
    | QuotaReply
    | relay_messages.RelayedRecords
    | relay_messages.StreamOrigins
)

_LOG = logs.create_log("fleet")
_MAX_INTEGER = 2**63 - 1
_DECODER = msgspec.msgpack.Decoder(FleetMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: FleetMessage) -> bytes:
    """Return the msgpack bytes of a message.

    An integer of more than 64 bits is replaced by the largest one: a sum that
    got out of bounds must not keep back the rest of the message.
    """
    try:
        return _ENCODER.encode(message)
    except OverflowError:
        _LOG.write(
            "Limited the integers of a message to 64 bits.",
            kind=type(message).__name__,
        )
        content = msgspec.to_builtins(message, builtin_types=(bytes,))
        return _ENCODER.encode(_limit_integers(content))


def decode_message(raw: bytes) -> FleetMessage:
    """Return the message that msgpack bytes hold.

    Raises:
        msgspec.MsgspecError: The bytes are no message of a known type.
    """
    return decoding.decode_with(_DECODER.decode, raw)


def _limit_integers(content: Any) -> Any:
    match content:
        case bool():
            return content
        case int():
            return max(-_MAX_INTEGER, min(content, _MAX_INTEGER))
        case list() | tuple():
            return [_limit_integers(item) for item in content]
        case dict():
            return {
                _limit_integers(key): _limit_integers(value)
                for key, value in content.items()
            }
    return content
