"""Keep the links of one daemon to others of its fleet.

One task keeps one link. In a small fleet each daemon tells all others of
itself. In a large one it tells the hubs of its zone, and those report; see
`topology` and `zone_mode`.
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
    messages,
    quota_client,
    state_copies,
    topology,
    zone_mode,
)
from martenquay_daemon.fleet import pace as paces

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from martenquay_daemon.fleet import runner_report_gossip, view

__all__ = ["FleetLinks", "Listeners"]

_LOG = logs.create_log("fleet")
# A request frame from a dealer arrives behind its identity.
_ROUTER_FRAMES = 2
# Only the newest news are worth sending: an old one that reaches a daemon
# that has just started would be taken for what the sender spends now.
_QUEUE_LENGTH = 4
# Between two notes on units, when requests wait for some elsewhere.
_UNITS_HURRY_S = 0.04
# Answers that wait for units at the same time; a task takes 10 KB.
_MOST_ANSWERING = 500
# Links to other zones' hubs that were asked for units are kept so long.
_ASKED_S = 5.0
# A copy comes within milliseconds, or is not coming.
_ASK_AGAIN_S = 0.2


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Who is told what other daemons tell.

    Attributes:
        apply_digest: Of one other daemon, in a small fleet.
        apply_report: Of all others, in a large one.
        change_mode: The fleet has become large or small.
        apply_subscriber_digest: Of a daemon that takes this one for its hub,
            with the time at which the report was sent that its loan counts
            from.
        create_units: Returns what to tell others that keep units.
        take_units: Of one that does.
        answer_units: Decides on another daemon's request; tells the reply,
            and before it that there will be one if that takes a moment.
        find_zone_end: Returns how far all daemons of a zone have read who
            announced themselves.
        runner_news: Of what runners say of themselves.
    """

    apply_digest: Callable[[messages.Digest], None]
    apply_report: Callable[[messages.FleetReport], None]
    change_mode: Callable[[], None]
    apply_subscriber_digest: Callable[[messages.Digest, float | None], None]
    create_units: Callable[[], messages.QuotaUpdate]
    take_units: Callable[[messages.QuotaUpdate], None]
    answer_units: Callable[
        [messages.QuotaRequest, Callable[[messages.QuotaReply], None]],
        Awaitable[None],
    ]
    find_zone_end: Callable[[str], int]
    runner_news: runner_report_gossip.RunnerReportGossip


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
        desk: Asks other daemons for units.
    """

    def __init__(
        self,
        own: topology.PeerAddress,
        fleet: view.FleetView,
        state: state_copies.FleetState,
        create_digest: Callable[[], messages.Digest],
        mesh_pace: paces.GossipIntervals = paces.MESH_PACE,
        zone_pace: paces.GossipIntervals = paces.ZONE_PACE,
        *,
        announced: str | None = None,
    ) -> None:
        self.address = announced or own.address
        self.listeners: Listeners | None = None
        self._own_place = own
        self._announced = announced
        self._view = fleet
        self._copies = state_copies.StateTransfer(state)
        self._create_digest = create_digest
        self._mesh_pace = mesh_pace
        self._zone_pace = zone_pace
        self._zone = zone_mode.ZoneMode(own, fleet, state, zone_pace)
        self._own: messages.Digest | None = None
        self._told_at = -math.inf
        self._asked_at = -math.inf
        self._context = zmq.Context()
        self._known: dict[str, topology.PeerAddress] = {}
        # What is no address at all; others may go on telling of it.
        self._refused: set[str] = set()
        self._links: dict[str, _Link] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._units_wake = trio.Event()
        self._answering = 0
        # Other zones' hubs that were asked for units, and until when they are
        # kept linked.
        self._asked_hubs: dict[str, float] = {}
        self.quota_client = quota_client.QuotaClient(self)
        self._zone.find_members_end = self._find_zone_end
        self._zone.create_runner_reports = self._create_runner_words

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and keep the links until cancelled."""
        router = sockets.bind_router(self._context, self._own_place.address)
        self.address = self._announced or router.address
        self._zone.move_to(self.address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._tell)
                nursery.start_soon(self._tell_units)
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
        if peer.address in self._refused:
            return
        self._known[peer.address] = peer

    def count_links(self) -> int:
        """Return how many daemons are told directly."""
        return len(self._links)

    def notify_soon(self) -> None:
        """Have the next digest sent soon, for news that cannot wait."""
        self._wake.set()

    def notify_quota_soon(self) -> None:
        """Have others told soon of the units that are here."""
        self._units_wake.set()

    def holds_own_quota(self) -> bool:
        """Tell whether this daemon keeps the units that it needs."""
        return self.is_mesh() or self._zone.is_quota_hub()

    def find_quota_hub(self) -> zone_mode.Keeper | None:
        """Return the hub to lend to, if there is to be one and it reports."""
        return None if self.is_mesh() else self._zone.find_quota_hub()

    def find_sole_since(self) -> float:
        """Return since when nobody uses what the last process here lent."""
        # In a mesh nobody lends.
        return -math.inf if self.is_mesh() else self._zone.find_sole_since()

    def list_quota_hubs(self) -> list[str]:
        """Return the addresses to ask for units, the first choice first."""
        return self._zone.list_quota_hubs()

    def send_to(self, address: str, raw: bytes) -> bool:
        """Send a message to a hub, by a new link if there is none."""
        if address not in self._links:
            self._asked_hubs[address] = trio.current_time() + _ASKED_S
            self._choose_links()
        return self._send(address, raw)

    def send_now(self) -> None:
        """Tell all linked daemons at once."""
        digest = self._create_digest()
        self._zone.set_own_digest(digest)
        raw = messages.encode_message(messages.DigestMessage(digest))
        for link in self._links.values():
            link.socket.send([raw])

    def is_mesh(self) -> bool:
        """Tell whether each daemon is linked to all."""
        return len(self._known) <= topology.FULL_MESH

    def needs_log(self) -> bool:
        """Tell whether this daemon has to follow the log itself.

        In a large fleet the hubs do, and hand on what is new.
        """
        return self.is_mesh() or not self._zone.is_served()

    def leads_reading(self) -> bool:
        """Tell whether others go by this daemon's reading of the log."""
        return self.is_mesh() or self._zone.leads()

    async def _serve(self, router: sockets.PeerSocket) -> None:
        while True:
            frames = await router.receive()
            if len(frames) != _ROUTER_FRAMES:
                _LOG.write(f"Dropped a message of {len(frames)} frames.")
                continue
            peer, raw = frames

            def reply(
                message: messages.FleetMessage, peer: bytes = peer
            ) -> None:
                router.send([peer, messages.encode_message(message)])

            self._take(raw, reply)

    def _take(
        self,
        raw: bytes,
        reply: Callable[[messages.FleetMessage], None],
        source: str = "",
    ) -> None:
        """Take a message and reply if it asks for something.

        Args:
            raw: The message.
            reply: Sends an answer to whom it came from.
            source: The address that it is an answer from.
        """
        try:
            message = messages.decode_message(raw)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Dropped a message that cannot be read: {error}.")
            return
        match message:
            case messages.DigestMessage(digest=digest):
                self._take_digest(digest)
            case messages.ZoneExchange():
                self._take_runner_words(message.runner_reports)
                self._zone.apply_exchange(message)
            case messages.FleetReport():
                self._take_report(message)
            case messages.StateRequest():
                reply(self._copies.create_copy(message, self._list_peers()))
            case messages.QuotaRequest():
                self._answer_units(message, reply)
            case messages.QuotaReply():
                self.quota_client.apply_reply(source, message)
            case messages.QuotaUpdate():
                if self.listeners is not None:
                    self.listeners.take_units(message)
            case messages.StateReply():
                self._copies.take(message)
                for line in message.peers:
                    self.add_peer(
                        topology.PeerAddress(
                            line.address, line.zone, line.capacity
                        )
                    )

    def _answer_units(
        self,
        want: messages.QuotaRequest,
        reply: Callable[[messages.FleetMessage], None],
    ) -> None:
        """Decide on units for another daemon, in a task of its own."""
        assert self._nursery is not None, "links are not running"
        if self.listeners is None or self._answering >= _MOST_ANSWERING:
            # Another keeper is asked as well when this one says nothing.
            return
        answer = self.listeners.answer_units

        async def decide() -> None:
            self._answering += 1
            try:
                await answer(want, reply)
            finally:
                self._answering -= 1

        self._nursery.start_soon(decide)

    def _take_digest(self, digest: messages.Digest) -> None:
        if not self._view.take(digest):
            return
        self.add_peer(
            topology.PeerAddress(digest.address, digest.zone, digest.capacity)
        )
        self._zone.apply_digest(digest)
        self._take_runner_words(digest.runner_reports)
        if self.listeners is None:
            return
        if self.is_mesh():
            self.listeners.apply_digest(digest)
        elif digest.zone == self._own_place.zone:
            loan = digest.loan
            reported_at = loan and self._zone.find_reported(loan.heard)
            self.listeners.apply_subscriber_digest(digest, reported_at)

    def _take_report(self, report: messages.FleetReport) -> None:
        if self.is_mesh():
            return
        self._take_runner_words(report.runner_reports)
        if not self._zone.apply_report(report):
            return
        if self.listeners is not None:
            self.listeners.apply_report(report)

    def _take_runner_words(self, words: messages.RunnerReports) -> None:
        if self.listeners is not None:
            self.listeners.runner_news.take(words)

    def _create_runner_words(self) -> messages.RunnerReports:
        if self.listeners is None:
            return messages.NO_RUNNER_REPORTS
        return self.listeners.runner_news.create(is_hub=True)

    def _find_zone_end(self) -> int:
        if self.listeners is None:
            return 0
        return self.listeners.find_zone_end(self._own_place.zone)

    async def _tell_units(self) -> None:
        """Tell others that keep units of those that are here."""
        while True:
            with trio.move_on_after(self._find_pace().units_s):
                await self._units_wake.wait()
            self._units_wake = trio.Event()
            receivers = list(self._list_unit_keepers())
            if receivers and self.listeners is not None:
                note = self.listeners.create_units()
                raw = messages.encode_message(note)
                for address in receivers:
                    self._send(address, raw)
            await trio.sleep(_UNITS_HURRY_S)

    def _list_unit_keepers(self) -> Iterable[str]:
        if self.is_mesh():
            return list(self._links)
        return self._zone.list_other_quota_hubs()

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
            is_hurried = self._wake.is_set()
            if self._is_own_due(pace):
                self._tell_own()
            if not is_mesh and self._zone.is_report_due(is_hurried=is_hurried):
                self._report()
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

    def _find_pace(self) -> paces.GossipIntervals:
        return self._mesh_pace if self.is_mesh() else self._zone_pace

    def _find_silent(self, pace: paces.GossipIntervals) -> float:
        if self.is_mesh():
            return pace.silent_s
        return max(pace.silent_s, paces.LOST_REPORTS * self._zone.report_s)

    def _is_own_due(self, pace: paces.GossipIntervals) -> bool:
        due_s = pace.min_interval_s if self._wake.is_set() else pace.own_s
        return trio.current_time() >= self._told_at + due_s

    def _tell_own(self) -> None:
        """Make a new digest of this daemon's own and send it."""
        self._own = self._create_digest()
        self._zone.set_own_digest(self._own)
        self._told_at = trio.current_time()
        self._wake = trio.Event()
        if not self.is_mesh():
            self._send_all(self._zone.create_notes(self._own))
            return
        raw = messages.encode_message(messages.DigestMessage(self._own))
        for address in list(self._links):
            self._send(address, raw)

    def _report(self) -> None:
        """Report to the daemons of the zone and to other zones' hubs."""
        self._send_all(self._zone.create_exchanges())
        own, reports = self._zone.create_reports()
        self._take_report(own)
        for one in reports:
            self._send(one.address, one.raw)

    def _send_all(self, notes: Iterable[zone_mode.Outgoing]) -> None:
        """Send what hubs should answer with reports."""
        for one in notes:
            if self._send(one.address, one.raw):
                self._zone.note_sent(one.address)

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
        raw = messages.encode_message(self._copies.create_request())
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
        if not self.is_mesh():
            yield from self._zone.list_states()

    def _list_peers(self) -> list[messages.PeerEntry]:
        own = dataclasses.replace(self._own_place, address=self.address)
        return [
            messages.PeerEntry(p.address, p.zone, p.capacity)
            for p in [*self._known.values(), own]
        ]

    def _choose_links(self) -> None:
        assert self._nursery is not None, "links are not running"
        wanted = self._select_peers() - self._refused
        for address in set(self._links) - wanted:
            self._links[address].scope.cancel()
        for address in wanted - set(self._links):
            try:
                socket = sockets.connect_dealer(
                    self._context,
                    address,
                    queue_length=_QUEUE_LENGTH,
                    waits_for_peer=False,
                )
            except zmq.ZMQError as error:
                # Whatever a peer announces, the links to others go on.
                _LOG.write(f"No link to {address!r}: {error}.")
                if error.errno == zmq.EINVAL:
                    self._refused.add(address)
                    self._known.pop(address, None)
                continue
            link = _Link(address, socket)
            self._links[address] = link
            self._nursery.start_soon(self._keep_link, link)

    def _select_peers(self) -> set[str]:
        if self.is_mesh():
            self._view.is_candidate = True
            return set(self._known)
        peers = self._zone.select_peers(self._known.values())
        self._view.is_candidate = self._zone.is_hub
        now = trio.current_time()
        for address, until in list(self._asked_hubs.items()):
            if until < now:
                del self._asked_hubs[address]
        return peers | set(self._asked_hubs)

    async def _keep_link(self, link: _Link) -> None:
        """Read what the peer replies until the link is dropped."""
        try:
            with link.scope:
                while True:
                    frames = await link.socket.receive()
                    self._take(frames[-1], _drop, link.address)
        finally:
            self._links.pop(link.address, None)
            link.socket.close()


def _drop(message: messages.FleetMessage) -> None:
    """Leave a question unanswered: it came as an answer."""
    _LOG.write(f"Dropped a question that came as an answer: {type(message)}.")
