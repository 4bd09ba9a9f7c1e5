"""Define what daemons of a fleet tell each other; msgpack with a tag each."""

from __future__ import annotations

import enum

import msgspec

# msgspec reads the annotations when the module is loaded.
from martenquay_daemon.discovery import runner_entries  # noqa: TC001

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


# Before all usage windows: of those no counts have been told.
NO_WINDOW = 0


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon has at a runner.

    Attributes:
        requests: Requests not answered to their end.
        unread_tokens: Prompt tokens that the runner has still to read.
    """

    requests: int
    unread_tokens: int


class LimitEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a runner said of its limit.

    Attributes:
        limit: Requests a second from all daemons; None if there is none now.
        born_ms: Of the process that said so, as in the runner's entry.
        sent_ms: Since the request was sent that it answered.
        heard_ms: Since the answer came.
    """

    limit: float | None
    born_ms: int | None
    sent_ms: int
    heard_ms: int


class RunnerReports(msgspec.Struct, frozen=True, array_like=True):
    """What runners have said of themselves in answers.

    Attributes:
        limits: What they said of their limits, by runner id.
        leaving: Those that leave, with the start of the process that said so.
    """

    limits: dict[str, LimitEntry]
    leaving: dict[str, int | None]


# What runners that are well say.
NO_RUNNER_REPORTS = RunnerReports({}, {})


class PrefillEntry(msgspec.Struct, frozen=True, array_like=True):
    """What results say of how fast a service's engines read prompts.

    Attributes:
        results: How many first events count.
        spread: As in `engines.model.PrefillSums`.
        slowing_ms: The same, with times in milliseconds.
    """

    results: int
    spread: int
    slowing_ms: int


class RolloutOrderEntry(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        version: The version.
        duration_s: Within this it is to be decided.
        offset: Of the order in the operators' topic.
    """

    service: str
    version: str
    duration_s: float
    offset: int


class TallyEntry(msgspec.Struct, frozen=True, array_like=True):
    """What runners of one version, or of all others, answered on a route.

    Attributes:
        answers: Requests that were answered or broke off.
        failures: Of these, those that failed.
        timed: Good answers whose time was taken.
        log_sum: Sum of the logarithms of their times in seconds.
        log_squares: Sum of the squares of these.
    """

    answers: int
    failures: int
    timed: int
    log_sum: float
    log_squares: float


class TrialEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a version on trial.

    Attributes:
        order: The offset of the operator's order.
        routes: What the old versions and this one answered, by route.
    """

    order: int
    routes: dict[str, tuple[TallyEntry, TallyEntry]]


class LeaseStatus(msgspec.Struct, frozen=True, array_like=True):
    """What the holder of the duties' lease tells candidates.

    Attributes:
        fence: Its fence.
        end: Where the lease's topic ends after its last record.
        left_ms: How much longer it may act because of that record.
    """

    fence: int
    end: int
    left_ms: int


class BalanceEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon has of one team's units.

    Attributes:
        level: Units that it may spend; less than 0 if it owes some.
        asked: Units a second that callers ask it for.
        needed: Units that it lacks for requests that wait there.
        overdraft: How far below 0 its level may come.
    """

    level: int
    asked: int
    needed: int
    overdraft: int


class LotEntry(msgspec.Struct, frozen=True, array_like=True):
    """Units that one daemon hands to another.

    Attributes:
        units: How many.
        life_ms: How much longer they may be spent.
    """

    units: float
    life_ms: int


class TransferEntry(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon hands to another.

    Attributes:
        heard: The number of the receiver's last digest that the giver had;
            lifetimes count from when that one was sent.
        lots: Units by team.
    """

    heard: int
    lots: dict[str, list[LotEntry]]


class DelegationEntry(msgspec.Struct, frozen=True, array_like=True):
    """Lend a part of all teams' rates.

    Attributes:
        receiver: The daemon that may use it.
        heard: The number of the receiver's last report that the lender had;
            times end counted from when that one was sent.
        part: Of each rate.
        starts_ms: From when on it may be used.
        ends_ms: Until when it may be used.
    """

    receiver: str
    heard: int
    part: float
    starts_ms: int
    ends_ms: int


class Digest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one daemon says of itself; a later one replaces it.

    Attributes:
        member: The daemon's id; a restarted process has a new one.
        instance: Its instance.
        zone: Its availability zone.
        address: Where its fleet link listens.
        number: Counts its digests.
        catalog_version: The version in force there.
        runners_changed: Up to where the runners' entries are known to it;
            entries that say nothing new do not count.
        log_age_ms: Since the log last answered it.
        capacity: Of its instance's link, in Mbit/s; the best ones are hubs.
        is_leaving: It is stopping.
        lease: What it tells if it holds the duties' lease.
        window: The usage window that is now, by its clock.
        loan: Its part of all teams' rates, if it lends that.
        members_end: Up to where it has read who announced themselves, as far
            as it goes by that.
        loads: What it has at runners, by runner id.
        begun: Requests begun, by window and team.
        demand: Prompt tokens a second for engines to read, by service.
        reading: What its results say of engines, by service.
        trials: What versions on trial answered, by service.
        orders: Orders that it has learnt of lately.
        runner_reports: What runners have told it of themselves lately.
    """

    member: str
    instance: str
    zone: str
    address: str
    number: int
    catalog_version: int
    runners_changed: int
    log_age_ms: int
    capacity: float
    is_leaving: bool
    lease: LeaseStatus | None
    window: int
    loan: DelegationEntry | None
    members_end: int
    loads: dict[str, LoadEntry]
    begun: dict[int, dict[str, int]]
    demand: dict[str, float]
    reading: dict[str, PrefillEntry]
    trials: dict[str, TrialEntry]
    orders: list[RolloutOrderEntry]
    runner_reports: RunnerReports


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What the daemons of a zone say together; a later one replaces it.

    Attributes:
        zone: The availability zone.
        hub: The daemon that added it up.
        instance: That daemon's instance.
        address: Where that daemon's fleet link listens.
        number: Counts the hub's summaries.
        daemons: How many it heard and added up.
        catalog_version: The version in force at the hub.
        runners_changed: As in the hub's digest.
        runners_age_ms: Since the hub had all of the runners' entries.
        log_age_ms: Since the log last answered the hub.
        lease: What the lease's holder tells, if it is one of them.
        lease_member: That holder.
        leaving: Members that are stopping.
        window: The earliest usage window that is now for one of them;
            `NO_WINDOW` where `begun` is left out.
        members_end: Up to where all of the zone's listed daemons have read
            who announced themselves, as far as the hub has heard.
        begun: Requests begun, by window and team; empty for daemons that
            cannot need it.
        demand: Prompt tokens a second for engines to read, by service; empty
            for daemons that cannot need it.
        reading: What the zone's results say of engines, by service; empty in
            reports, which hold the sum over all zones.
        trials: What versions on trial answered, by service; empty for daemons
            that cannot need it.
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
    demand: dict[str, float]
    reading: dict[str, PrefillEntry]
    trials: dict[str, TrialEntry]


class DigestMessage(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """What a daemon tells of itself.

    Attributes:
        digest: Its newest digest.
    """

    digest: Digest


class ZoneExchange(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """What a hub tells the hubs of other zones.

    Attributes:
        summary: Of its own zone.
        loads: What its zone's daemons have at runners, by runner id.
        runner_reports: What it knows of what runners say of themselves.
    """

    summary: ZoneSummary
    loads: dict[str, LoadEntry]
    runner_reports: RunnerReports


class FleetReport(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """What a hub tells a daemon of its zone.

    Attributes:
        hub: The daemon that tells it.
        zones: Summaries of all zones; that of their own does not count the
            receiver in.
        loads: What all other daemons have at runners, by runner id.
        heard: The number of the receiver's last digest that the hub had; 0
            if it had none.
        number: Counts the hub's rounds of reports.
        reading: What all other daemons' results say of engines, by service.
        orders: Orders that the hub has learnt of lately.
        runner_reports: What it knows of what runners say of themselves.
    """

    hub: str
    zones: list[ZoneSummary]
    loads: dict[str, LoadEntry]
    heard: int
    number: int
    reading: dict[str, PrefillEntry]
    orders: list[RolloutOrderEntry]
    runner_reports: RunnerReports


class PeerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Where a daemon is.

    Attributes:
        address: Its fleet link.
        zone: Its availability zone; empty if not known.
        capacity: As in its digest.
    """

    address: str
    zone: str
    capacity: float


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Ask for what the sender cannot read from the log now.

    Attributes:
        catalog_version: The version that the sender has.
        runners_end: How far it knows the runners' entries.
        number: Counts the sender's questions.
    """

    catalog_version: int
    runners_end: int
    number: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Answer `StateRequest` with what the asker lacks.

    Attributes:
        catalog: The record of the version in force, compressed; empty if the
            asker's is as new.
        runners_end: How far the sender knows the runners' entries.
        runners: The entries that have changed since.
        runner_ids: The ids of all runners that there are.
        peers: Other daemons.
        runners_age_ms: Since the sender had all of the runners' entries.
        regained_ms: Since the sender had the log again after an outage.
        number: Of the question.
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
    """Tell another daemon that keeps units of one's own.

    Attributes:
        member: Who tells it.
        address: Its fleet link.
        number: Counts its notes.
        pools: Units that it may spend, by team.
        gifts: Units that it hands to others, by member.
    """

    member: str
    address: str
    number: int
    pools: dict[str, BalanceEntry]
    gifts: dict[str, TransferEntry]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask a daemon that keeps units to spend some for a request.

    Attributes:
        number: Counts the sender's questions.
        team: Whose units.
        units: How many.
        reserve: Steps of urgency to leave room for.
        is_late: The answer cannot be on time any more.
        is_redirected: Another daemon has named the receiver.
    """

    number: int
    team: str
    units: float
    reserve: int
    is_late: bool
    is_redirected: bool


class QuotaVerdict(enum.IntEnum):
    """What a daemon answers that was asked for units."""

    GRANTED = 0
    REFUSED = 1
    # There will be another answer within a moment.
    WAITING = 2
    # It has no part of the rates now, so another one is to be asked.
    PASSED = 3
    # Another daemon has the units that are missing here.
    REDIRECTED = 4


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer `QuotaRequest`.

    Attributes:
        number: Of the question.
        verdict: The answer.
        retry_s: When the caller should come back, if it is refused.
        holder: The address to ask, if it is redirected.
        member: Who decided.
        there: Units that may be spent there.
        owed: Units that were spent there before they came.
        part: Of the team's rate that comes there.
        asked: Units a second that are asked for there.
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
)

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
