"""Keep the links of one daemon to others of its fleet.

One task keeps one link. In a small fleet each daemon tells all others of
itself. In a large one it tells the hubs of its zone, and those report; see
`topology`.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec
import trio
import zmq

from martenquay_core import logs
from martenquay_core.peers import sockets
from martenquay_daemon.fleet import (
    hub,
    messages,
    state_copies,
    topology,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_daemon.fleet import view

__all__ = ["MESH_PACE", "ZONE_PACE", "FleetLinks", "FleetPace", "Listeners"]

_LOG = logs.create_log("fleet")
# A request frame from a dealer arrives behind its identity.
_ROUTER_FRAMES = 2
# Only the newest news are worth sending: an old one that reaches a daemon
# that has just started would be taken for what the sender spends now.
_QUEUE_LENGTH = 4
# A copy comes within milliseconds, or is not coming.
_ASK_AGAIN_S = 0.2
# What a log that has never answered counts as.
_LONGEST_AGE_S = 3600.0
# A hub that has not reported for so long is not relied on for the log; the
# operators' changes have to be in force within 2 s.
_SERVED_S = 1.2
# A hub whose own reading of the log is this old is not relied on for it.
_FRESH_LOG_MS = 1000
# What a daemon may be sent of the fleet, in bytes a second: a large fleet is
# reported on less often. The users allow 5 KB/s for control; its own digests
# take the rest.
_REPORT_BYTES_PER_S = 4000.0


@dataclasses.dataclass(frozen=True)
class FleetPace:
    """How often a daemon tells of itself and, as a hub, of the others.

    Attributes:
        own_s: Between two digests of its own.
        hurry_s: The least time between two, for news that cannot wait.
        step_s: Between two looks at what there is to do.
        report_s: Between two reports of a hub, at the least.
        longest_report_s: The same, however large reports are.
        silent_s: Without news for so long, a daemon or zone is silent.
    """

    own_s: float
    hurry_s: float
    step_s: float
    report_s: float
    longest_report_s: float
    silent_s: float


# In a full mesh a digest takes one step, and four may be lost.
MESH_PACE = FleetPace(
    own_s=0.25,
    hurry_s=0.04,
    step_s=0.04,
    report_s=0.25,
    longest_report_s=0.8,
    silent_s=1.2,
)
# Over hubs it takes three.
ZONE_PACE = FleetPace(
    own_s=0.5,
    hurry_s=0.15,
    step_s=0.1,
    report_s=0.25,
    longest_report_s=0.8,
    silent_s=2.0,
)
# Of a hub's reports so many may be lost before its zone counts as silent.
_LOST_REPORTS = 4


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Who is told what other daemons tell.

    Attributes:
        take_digest: Of one other daemon, in a small fleet.
        take_report: Of all others, in a large one.
        change_mode: The fleet has become large or small.
    """

    take_digest: Callable[[messages.Digest], None]
    take_report: Callable[[messages.FleetReport], None]
    change_mode: Callable[[], None]


@dataclasses.dataclass
class _Link:
    address: str
    socket: sockets.PeerSocket
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


class FleetLinks:
    """The links of one daemon.

    Attributes:
        address: Where others reach it.
        listeners: Who is told; set before the links run.
    """

    def __init__(
        self,
        own: topology.PeerAddress,
        fleet: view.FleetView,
        state: state_copies.FleetState,
        create_digest: Callable[[], messages.Digest],
        mesh_pace: FleetPace = MESH_PACE,
        zone_pace: FleetPace = ZONE_PACE,
        *,
        announced: str | None = None,
    ) -> None:
        self.address = announced or own.address
        self._announced = announced
        self.listeners: Listeners | None = None
        self._own_place = own
        self._view = fleet
        self._state = state
        self._copies = state_copies.StateCopies(state)
        self._create_digest = create_digest
        self._mesh_pace = mesh_pace
        self._zone_pace = zone_pace
        self._own: messages.Digest | None = None
        self._told_at = -math.inf
        self._reported_at = -math.inf
        self._report_s = zone_pace.report_s
        self._asked_at = -math.inf
        self._context = zmq.Context()
        self._known: dict[str, topology.PeerAddress] = {}
        self._links: dict[str, _Link] = {}
        self._board = topology.HubBoard(own.address)
        self._hub = hub.ZoneHub(fleet.zones)
        self._is_hub = False
        self._own_hubs: list[str] = []
        self._served: dict[str, _Served] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and keep the links until cancelled."""
        router = sockets.bind_router(self._context, self._own_place.address)
        self.address = self._announced or router.address
        self._board.own_address = self.address
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._tell)
                task_status.started(self.address)
                await self._serve(router)
        finally:
            router.close()
            self._context.destroy(linger=0)

    def add_peer(self, peer: topology.PeerAddress) -> None:
        """Learn of another daemon."""
        known = self._known.get(peer.address)
        if peer.address == self.address or (known and known.zone):
            return
        self._known[peer.address] = peer

    def count_links(self) -> int:
        """Return how many daemons are told directly."""
        return len(self._links)

    def hurry(self) -> None:
        """Have the next digest sent soon, for news that cannot wait."""
        self._wake.set()

    def send_now(self) -> None:
        """Tell all linked daemons at once."""
        digest = self._create_digest()
        self._hub.take_own(digest, trio.current_time())
        raw = messages.encode_message(messages.DigestNote(digest))
        for link in self._links.values():
            link.socket.send([raw])

    def is_mesh(self) -> bool:
        """Tell whether each daemon is linked to all."""
        return len(self._known) <= topology.FULL_MESH

    def needs_log(self) -> bool:
        """Tell whether this daemon has to follow the log itself.

        In a large fleet the hubs do, and hand on what is new.
        """
        if self.is_mesh() or self._is_hub:
            return True
        oldest = trio.current_time() - _SERVED_S
        served = [
            one
            for one in self._served.values()
            if one.heard_at >= oldest and one.log_age_ms <= _FRESH_LOG_MS
        ]
        return not served

    async def _serve(self, router: sockets.PeerSocket) -> None:
        while True:
            frames = await router.receive()
            if len(frames) != _ROUTER_FRAMES:
                _LOG.write(f"Dropped a message of {len(frames)} frames.")
                continue
            peer, raw = frames
            reply = self._take(raw)
            if reply is not None:
                router.send([peer, messages.encode_message(reply)])

    def _take(self, raw: bytes) -> messages.StateCopy | None:
        """Take a message; return the reply that it asks for."""
        try:
            message = messages.decode_message(raw)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Dropped a message that cannot be read: {error}.")
            return None
        match message:
            case messages.DigestNote(digest=digest):
                self._take_digest(digest)
            case messages.ZoneExchange(summary=summary, loads=loads):
                self._take_exchange(summary, loads)
            case messages.FleetReport():
                self._take_report(message)
            case messages.WantState():
                return self._copies.create_copy(message, self._list_peers())
            case messages.StateCopy():
                self._copies.take(message)
                for line in message.peers:
                    self.add_peer(
                        topology.PeerAddress(
                            line.address, line.zone, line.capacity
                        )
                    )
        return None

    def _take_digest(self, digest: messages.Digest) -> None:
        if not self._view.take(digest):
            return
        self.add_peer(
            topology.PeerAddress(digest.address, digest.zone, digest.capacity)
        )
        if digest.zone == self._own_place.zone:
            self._hub.take(digest, trio.current_time())
        if self.is_mesh() and self.listeners is not None:
            self.listeners.take_digest(digest)

    def _take_exchange(
        self,
        summary: messages.ZoneSummary,
        loads: dict[str, messages.LoadLine],
    ) -> None:
        now = trio.current_time()
        self._board.note_heard(summary.address, now)
        if summary.zone != self._own_place.zone:
            self._view.zones.take(summary, loads, now)

    def _take_report(self, report: messages.FleetReport) -> None:
        if self.is_mesh() or not report.zones:
            return
        own = report.zones[0]
        now = trio.current_time()
        self._board.note_heard(own.address, now)
        self._served[own.address] = _Served(own, now)
        if self._is_hub and report.hub != self._find_member():
            # A hub goes by its own sums; the other one is known to be there.
            return
        if not self._is_hub and own.log_age_ms <= _FRESH_LOG_MS:
            self._state.contact.note_relayed(own.log_age_ms / 1000)
        counts = [self._view.zones.take(s, {}, now) for s in report.zones]
        if counts[0] and self.listeners is not None:
            self.listeners.take_report(report)

    def _find_member(self) -> str:
        return "" if self._own is None else self._own.member

    async def _tell(self) -> None:
        """Tell others of this daemon, and as a hub of the fleet."""
        was_mesh = self.is_mesh()
        while True:
            is_mesh = self.is_mesh()
            if is_mesh != was_mesh:
                was_mesh = is_mesh
                self._change_mode()
            pace = self._find_pace()
            self._view.is_mesh = is_mesh
            self._view.silent_s = self._find_silent(pace)
            self._view.check_silence()
            self._choose_links()
            is_renewed = self._renew_own(pace)
            if is_renewed:
                self._tell_own()
            if self._is_hub and not is_mesh:
                self._report(pace)
            self._ask_for_state()
            await trio.sleep(pace.step_s)
            if is_mesh:
                with trio.move_on_at(self._told_at + pace.own_s):
                    await self._wake.wait()

    def _change_mode(self) -> None:
        _LOG.write(
            "Digests go to all daemons."
            if self.is_mesh()
            else "Digests go to the hubs of the zone.",
            known=len(self._known),
        )
        self._view.zones.clear()
        if self.listeners is not None:
            self.listeners.change_mode()

    def _find_pace(self) -> FleetPace:
        return self._mesh_pace if self.is_mesh() else self._zone_pace

    def _find_silent(self, pace: FleetPace) -> float:
        if self.is_mesh():
            return pace.silent_s
        return max(pace.silent_s, _LOST_REPORTS * self._report_s)

    def _renew_own(self, pace: FleetPace) -> bool:
        """Make a new digest of this daemon's own if it is time for one."""
        now = trio.current_time()
        due_s = pace.hurry_s if self._wake.is_set() else pace.own_s
        if now < self._told_at + due_s:
            return False
        self._own = self._create_digest()
        self._hub.take_own(self._own, now)
        self._hub.forget_old(now)
        self._told_at = now
        self._wake = trio.Event()
        return True

    def _tell_own(self) -> None:
        assert self._own is not None, "the first digest comes first"
        raw = messages.encode_message(messages.DigestNote(self._own))
        addresses = list(self._links) if self.is_mesh() else self._own_hubs
        for address in addresses:
            if self._send(address, raw):
                self._board.note_asked(address, trio.current_time())

    def _report(self, pace: FleetPace) -> None:
        """Report to the daemons of the zone and to other zones' hubs."""
        now = trio.current_time()
        if now < self._reported_at + self._report_s:
            return
        self._reported_at = now
        facts = self._create_facts()
        silent_s = self._view.silent_s
        exchange = self._hub.create_exchange(facts, now, silent_s)
        raw = messages.encode_message(exchange)
        for address in self._list_foreign_hubs():
            if self._send(address, raw):
                self._board.note_asked(address, now)
        reports = self._hub.create_reports(facts, now, silent_s)
        self._take_report(reports.pop(self.address))
        longest = 0
        for address, report in reports.items():
            raw = messages.encode_message(report)
            longest = max(longest, len(raw))
            self._send(address, raw)
        self._report_s = min(
            pace.longest_report_s,
            max(pace.report_s, longest / _REPORT_BYTES_PER_S),
        )

    def _create_facts(self) -> hub.HubFacts:
        state = self._state
        age_s = min(state.contact.age_s, _LONGEST_AGE_S)
        return hub.HubFacts(
            state.store.version,
            state.directory.changed_end,
            int(age_s * 1000),
        )

    def _send(self, address: str, raw: bytes) -> bool:
        link = self._links.get(address)
        return link is not None and link.socket.send([raw])

    def _ask_for_state(self) -> None:
        """Ask a peer that is ahead, if the log does not tell by itself."""
        now = trio.current_time()
        if now < self._asked_at + _ASK_AGAIN_S:
            return
        linked = [p for p in self._list_states() if p.address in self._links]
        source = self._copies.choose_source(linked, reads_log=self.needs_log())
        if source is None:
            return
        self._asked_at = now
        raw = messages.encode_message(self._copies.create_want())
        self._send(source.address, raw)

    def _list_states(self) -> Iterable[state_copies.PeerState]:
        for known in self._view.list_fresh():
            digest = known.digest
            yield state_copies.PeerState(
                digest.address,
                digest.catalog_version,
                digest.runners_changed,
                digest.log_age_ms,
            )
        if self.is_mesh():
            return
        summaries = [one.summary for one in self._served.values()]
        summaries += [k.summary for k in self._view.zones.list_active()]
        for summary in summaries:
            yield state_copies.PeerState(
                summary.address,
                summary.catalog_version,
                summary.runners_changed,
                summary.log_age_ms,
            )

    def _list_peers(self) -> list[messages.PeerLine]:
        return [
            messages.PeerLine(p.address, p.zone, p.capacity)
            for p in [*self._known.values(), self._find_own_place()]
        ]

    def _find_own_place(self) -> topology.PeerAddress:
        return dataclasses.replace(self._own_place, address=self.address)

    def _choose_links(self) -> None:
        assert self._nursery is not None, "links are not running"
        wanted = self._select_peers()
        for address in set(self._links) - wanted:
            self._links[address].scope.cancel()
        for address in wanted - set(self._links):
            socket = sockets.connect_dealer(
                self._context,
                address,
                queue_length=_QUEUE_LENGTH,
                waits_for_peer=False,
            )
            link = _Link(address, socket)
            self._links[address] = link
            self._nursery.start_soon(self._keep_link, link)

    def _select_peers(self) -> set[str]:
        if self.is_mesh():
            self._is_hub = False
            self._view.is_candidate = True
            return set(self._known)
        now = trio.current_time()
        zone = self._own_place.zone
        own_zone = [p for p in self._known.values() if p.zone == zone]
        chosen = self._board.choose([*own_zone, self._find_own_place()], now)
        subscribers = set(self._hub.list_subscribers(now))
        self._is_hub = self.address in chosen or bool(subscribers)
        self._view.is_candidate = self._is_hub
        self._own_hubs = [a for a in chosen if a != self.address]
        peers = set(self._own_hubs)
        if self._is_hub:
            peers |= subscribers | set(self._list_foreign_hubs())
        return peers - {self.address}

    def _list_foreign_hubs(self) -> list[str]:
        """Return the hubs of other zones, and those that take us for one."""
        now = trio.current_time()
        by_zone: dict[str, list[topology.PeerAddress]] = {}
        for peer in self._known.values():
            if peer.zone and peer.zone != self._own_place.zone:
                by_zone.setdefault(peer.zone, []).append(peer)
        found: list[str] = []
        for peers in by_zone.values():
            found += self._board.choose(peers, now)
            addresses = {p.address for p in peers}
            heard = self._board.list_heard(now)
            found += [a for a in heard if a in addresses and a not in found]
        return found

    async def _keep_link(self, link: _Link) -> None:
        """Read what the peer replies until the link is dropped."""
        try:
            with link.scope:
                while True:
                    frames = await link.socket.receive()
                    self._take(frames[-1])
        finally:
            self._links.pop(link.address, None)
            link.socket.close()


class _Served:
    """A hub of this zone and when it last reported."""

    def __init__(self, summary: messages.ZoneSummary, heard_at: float) -> None:
        self.summary = summary
        self.heard_at = heard_at

    @property
    def log_age_ms(self) -> int:
        """Since the log answered that hub, when it reported."""
        return self.summary.log_age_ms
