"""Connect a daemon with its fleet and exchange messages with it.

One task serves each link. In a small fleet, a full mesh, each daemon sends its
digest to all others. In a large one it sends the digest to the hubs of its
zone, which reply with reports; see `topology` and `zone_mode`.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

import msgspec
import trio
import zmq

from martenquay_core import logs
from martenquay_core.peers import sockets
from martenquay_daemon import supervision
from martenquay_daemon.fleet import (
    messages,
    quota_client,
    relay_messages,
    state_copies,
    timing,
    topology,
    zone_mode,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from martenquay_daemon.fleet import runner_report_gossip, view

__all__ = ["FleetLinks", "Listeners"]

_LOG = logs.create_log("fleet")
# A router socket receives each message behind the identity of its sender.
_ROUTER_FRAMES = 2
# A longer queue would deliver outdated digests to a daemon that has restarted.
_QUEUE_LENGTH = 4
_MIN_QUOTA_UPDATE_S = 0.04
# Bounds the memory of quota requests that wait for transfers.
_MAX_ANSWERING = 500
# How long a link to another zone's hub is kept after a quota request.
_HUB_LINK_S = 5.0
_STATE_REQUEST_INTERVAL_S = 0.2
# Other daemons take one for ended after 1.2 s without a message.
_RESTART_DELAY_S = 0.2


def _ignore_relayed(message: relay_messages.RelayedRecords) -> None:
    del message


def _ignore_origins(record: bytes) -> None:
    del record


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Callbacks for messages of other daemons.

    Attributes:
        apply_digest: Processes a daemon's digest, in a small fleet.
        apply_report: Processes a hub's report, in a large fleet.
        change_mode: Called when the fleet has become large or small.
        apply_subscriber_digest: Processes the digest of a daemon that has
            this one as its hub; also gets the time at which the report was
            sent that the digest's delegation names, in trio's time.
        create_quota_update: Returns the update for other daemons that hold
            quota.
        apply_quota_update: Processes the update of one of these.
        answer_quota_request: Decides on another daemon's request and sends
            the reply; sends a `WAITING` reply first if that takes a moment.
        find_zone_end: Returns the offset up to which all daemons of a zone
            account for announcements.
        runner_report_gossip: Creates and merges gossip of runners' reports.
        apply_relayed: Processes the records that a hub relays.
        apply_origins: Processes the versions that began streams at another
            daemon.
    """

    apply_digest: Callable[[messages.Digest], None]
    apply_report: Callable[[messages.FleetReport], None]
    change_mode: Callable[[], None]
    apply_subscriber_digest: Callable[[messages.Digest, float | None], None]
    create_quota_update: Callable[[], messages.QuotaUpdate]
    apply_quota_update: Callable[[messages.QuotaUpdate], None]
    answer_quota_request: Callable[
        [messages.QuotaRequest, Callable[[messages.QuotaReply], None]],
        Awaitable[None],
    ]
    find_zone_end: Callable[[str], int]
    runner_report_gossip: runner_report_gossip.RunnerReportGossip
    apply_relayed: Callable[[relay_messages.RelayedRecords], None] = (
        _ignore_relayed
    )
    apply_origins: Callable[[bytes], None] = _ignore_origins


@dataclasses.dataclass
class _Link:
    address: str
    socket: sockets.PeerSocket
    cancel_scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


class FleetLinks:
    """Links of one daemon to others of its fleet.

    Attributes:
        address: Address at which other daemons reach this one.
        listeners: Callbacks for received messages; set before `run`.
        quota_client: Asks other daemons for quota.
    """

    def __init__(
        self,
        own: topology.PeerAddress,
        fleet: view.FleetView,
        state: state_copies.FleetState,
        create_digest: Callable[[], messages.Digest],
        mesh_intervals: timing.GossipIntervals = timing.MESH_INTERVALS,
        zone_intervals: timing.GossipIntervals = timing.ZONE_INTERVALS,
        *,
        announced: str | None = None,
    ) -> None:
        """Create the links.

        Args:
            own: Address to listen at, with this daemon's zone and capacity.
            fleet: View of the fleet, updated by received digests.
            state: Catalog and runner entries to exchange with peers.
            create_digest: Returns a new digest of this daemon.
            mesh_intervals: Intervals in a small fleet.
            zone_intervals: Intervals in a large fleet.
            announced: Address to announce, if not the one to listen at.
        """
        self.address = announced or own.address
        self.listeners: Listeners | None = None
        self._own_address = own
        self._announced = announced
        self._view = fleet
        self._state_transfer = state_copies.StateTransfer(state)
        self._create_digest = create_digest
        self._mesh_intervals = mesh_intervals
        self._zone_intervals = zone_intervals
        self._zone = zone_mode.ZoneMode(own, fleet, state, zone_intervals)
        self._own_digest: messages.Digest | None = None
        self._digest_sent_at = -math.inf
        self._was_mesh = True
        self._state_requested_at = -math.inf
        self._context = zmq.Context()
        self._router: sockets.PeerSocket | None = None
        self._known: dict[str, topology.PeerAddress] = {}
        # Addresses that ZeroMQ rejects. Other daemons may keep listing them.
        self._invalid: set[str] = set()
        self._links: dict[str, _Link] = {}
        self._nursery: trio.Nursery | None = None
        self._digest_wake = trio.Event()
        self._quota_wake = trio.Event()
        self._answering = 0
        # When links to other zones' hubs that were asked for quota expire.
        self._hub_links_until: dict[str, float] = {}
        self.quota_client = quota_client.QuotaClient(self)
        self._zone.find_members_end = self._find_zone_end
        self._zone.create_runner_reports = self._create_runner_reports

    def listen(self) -> None:
        """Listen for the messages of other daemons, which `run` processes.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._router = sockets.bind_router(
            self._context, self._own_address.address
        )

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and serve the links until cancelled."""
        if self._router is None:
            self.listen()
        router, self._router = self._router, None
        self.address = self._announced or router.address
        self._zone.set_address(self.address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._was_mesh = self.is_mesh()
                for name, task in (
                    ("gossip", self._run_gossip),
                    ("quota updates", self._run_quota_updates),
                    (
                        "messages",
                        functools.partial(self._receive_requests, router),
                    ),
                ):
                    nursery.start_soon(
                        supervision.keep_running, name, task, _RESTART_DELAY_S
                    )
                task_status.started(self.address)
        finally:
            router.close()
            self._context.destroy(linger=0)

    def add_peer(self, peer: topology.PeerAddress) -> None:
        """Add another daemon's address."""
        known = self._known.get(peer.address)
        if peer.address == self.address or (known and known.zone):
            return
        if peer.address in self._invalid:
            return
        self._known[peer.address] = peer

    def count_links(self) -> int:
        """Return the number of daemons that this one is linked to."""
        return len(self._links)

    def notify_soon(self) -> None:
        """Have the next digest sent early."""
        self._digest_wake.set()

    def notify_quota_soon(self) -> None:
        """Have the next quota update sent early."""
        self._quota_wake.set()

    def holds_own_quota(self) -> bool:
        """Return whether this daemon holds the quota that it needs."""
        return self.is_mesh() or self._zone.is_quota_hub()

    def find_quota_hub(self) -> zone_mode.QuotaHub | None:
        """Return the hub to delegate to, if one is needed and reports."""
        return None if self.is_mesh() else self._zone.find_quota_hub()

    def find_sole_since(self) -> float:
        """Return since when no hub uses a former process's delegation.

        Returns:
            In trio's time; infinity while one may still use it.
        """
        # In a mesh nobody delegates.
        return -math.inf if self.is_mesh() else self._zone.find_sole_since()

    def list_quota_hubs(self) -> list[str]:
        """Return the addresses to ask for quota, by preference."""
        return self._zone.list_quota_hubs()

    def send_to(self, address: str, raw: bytes) -> bool:
        """Send a message to a hub; create the link if there is none.

        Returns:
            Whether the message was sent; a new link sends none yet.
        """
        if address not in self._links:
            self._hub_links_until[address] = trio.current_time() + _HUB_LINK_S
            self._update_links()
        return self._send(address, raw)

    def send_now(self) -> None:
        """Send a digest over all links at once."""
        digest = self._create_digest()
        self._zone.set_own_digest(digest)
        raw = messages.encode_message(messages.DigestMessage(digest))
        for link in self._links.values():
            link.socket.send([raw])

    def is_mesh(self) -> bool:
        """Return whether each daemon is linked to all others."""
        return len(self._known) <= topology.MAX_MESH_PEERS

    def needs_log(self) -> bool:
        """Return whether this daemon has to follow the log itself.

        In a large fleet the hubs follow it and pass changes on.
        """
        return self.is_mesh() or not self._zone.is_log_relayed()

    def leads_reading(self) -> bool:
        """Return whether other daemons rely on this one to read the log."""
        return self.is_mesh() or self._zone.is_log_reader()

    def send_to_zone(self, message: messages.FleetMessage) -> None:
        """Send a message to the daemons that this hub reports to."""
        raw = messages.encode_message(message)
        for address in self._zone.list_subscribers():
            self._send(address, raw)

    def share_origins(self, record: bytes) -> bool:
        """Send the versions that began streams to those who keep them.

        In a small fleet these are all daemons, in a large one the zone's hubs.

        Returns:
            Whether the record was sent to any of them.
        """
        receivers = (
            list(self._links) if self.is_mesh() else self._zone.list_own_hubs()
        )
        raw = messages.encode_message(relay_messages.StreamOrigins(record))
        sent = [self._send(address, raw) for address in receivers]
        return any(sent)

    async def _receive_requests(self, router: sockets.PeerSocket) -> None:
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

            self._handle_message(raw, reply)

    def _handle_message(
        self,
        raw: bytes,
        reply: Callable[[messages.FleetMessage], None],
        source: str = "",
    ) -> None:
        """Process a message; reply if it is a request.

        Args:
            raw: The message's bytes.
            reply: Sends a message to the sender.
            source: Address of the sender, if the message is a reply.
        """
        try:
            message = messages.decode_message(raw)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Dropped a message that cannot be read: {error}.")
            return
        kind = type(message).__name__
        with supervision.contain_faults(
            f"Dropped a message: {kind} failed", source=source
        ):
            self._apply_message(message, reply, source)

    def _apply_message(
        self,
        message: messages.FleetMessage,
        reply: Callable[[messages.FleetMessage], None],
        source: str,
    ) -> None:
        match message:
            case messages.StateReply() | messages.QuotaReply() if not source:
                # Replies come over the link that the request was sent on.
                _LOG.write(
                    "Dropped a reply that nobody asked for.",
                    kind=type(message).__name__,
                )
            case messages.DigestMessage(digest=digest):
                self._handle_digest(digest)
            case messages.ZoneExchange():
                self._merge_runner_reports(message.runner_reports)
                self._zone.apply_exchange(message)
            case messages.FleetReport():
                self._handle_report(message)
            case messages.StateRequest():
                reply(
                    self._state_transfer.create_reply(
                        message, self._list_peers()
                    )
                )
            case messages.QuotaRequest():
                self._handle_quota_request(message, reply)
            case messages.QuotaReply():
                self.quota_client.apply_reply(source, message)
            case messages.QuotaUpdate():
                if self.listeners is not None:
                    self.listeners.apply_quota_update(message)
            case (
                relay_messages.RelayedRecords() | relay_messages.StreamOrigins()
            ):
                self._handle_records(message)
            case messages.StateReply():
                self._handle_state_reply(message)

    def _handle_records(
        self,
        message: relay_messages.RelayedRecords | relay_messages.StreamOrigins,
    ) -> None:
        if self.listeners is None:
            return
        match message:
            case relay_messages.StreamOrigins(record=record):
                self.listeners.apply_origins(record)
            case _ if not self.is_mesh():
                self.listeners.apply_relayed(message)

    def _handle_state_reply(self, reply: messages.StateReply) -> None:
        self._state_transfer.apply_reply(reply)
        for entry in reply.peers:
            self.add_peer(
                topology.PeerAddress(entry.address, entry.zone, entry.capacity)
            )

    def _handle_quota_request(
        self,
        request: messages.QuotaRequest,
        reply: Callable[[messages.FleetMessage], None],
    ) -> None:
        """Answer another daemon's quota request in a task of its own."""
        assert self._nursery is not None, "links are not running"
        if self.listeners is None or self._answering >= _MAX_ANSWERING:
            # The sender asks another hub when no reply comes.
            return
        answer = self.listeners.answer_quota_request

        async def answer_request() -> None:
            self._answering += 1
            try:
                await answer(request, reply)
            finally:
                self._answering -= 1

        self._nursery.start_soon(
            supervision.run_contained, "quota request", answer_request
        )

    def _handle_digest(self, digest: messages.Digest) -> None:
        if not self._view.apply_digest(digest):
            return
        self.add_peer(
            topology.PeerAddress(digest.address, digest.zone, digest.capacity)
        )
        self._zone.apply_digest(digest)
        self._merge_runner_reports(digest.runner_reports)
        if self.listeners is None:
            return
        if self.is_mesh():
            self.listeners.apply_digest(digest)
        elif digest.zone == self._own_address.zone:
            delegation = digest.delegation
            reported_at = delegation and self._zone.find_report_time(
                delegation.heard
            )
            self.listeners.apply_subscriber_digest(digest, reported_at)

    def _handle_report(self, report: messages.FleetReport) -> None:
        if self.is_mesh():
            return
        self._merge_runner_reports(report.runner_reports)
        if not self._zone.apply_report(report):
            return
        if self.listeners is not None:
            self.listeners.apply_report(report)

    def _merge_runner_reports(self, reports: messages.RunnerReports) -> None:
        if self.listeners is not None:
            self.listeners.runner_report_gossip.merge_reports(reports)

    def _create_runner_reports(self) -> messages.RunnerReports:
        if self.listeners is None:
            return messages.NO_RUNNER_REPORTS
        return self.listeners.runner_report_gossip.create_reports(is_hub=True)

    def _find_zone_end(self) -> int:
        if self.listeners is None:
            return 0
        return self.listeners.find_zone_end(self._own_address.zone)

    async def _run_quota_updates(self) -> None:
        """Send quota updates to the other daemons that hold quota."""
        while True:
            with trio.move_on_after(self._get_intervals().quota_update_s):
                await self._quota_wake.wait()
            self._quota_wake = trio.Event()
            receivers = list(self._list_quota_holders())
            if receivers and self.listeners is not None:
                update = self.listeners.create_quota_update()
                raw = messages.encode_message(update)
                for address in receivers:
                    self._send(address, raw)
            await trio.sleep(_MIN_QUOTA_UPDATE_S)

    def _list_quota_holders(self) -> Iterable[str]:
        if self.is_mesh():
            return list(self._links)
        return self._zone.list_other_quota_hubs()

    async def _run_gossip(self) -> None:
        """Send digests and, as a hub, reports, when they are due."""
        while True:
            is_mesh = self.is_mesh()
            intervals = self._get_intervals()
            is_hurried = self._digest_wake.is_set()
            # A fault in one step costs that step: without digests the others
            # would take this daemon for ended.
            for step in (
                self._apply_mode,
                self._check_silence,
                self._update_links,
                self._send_due_digest,
                functools.partial(self._send_due_reports, is_hurried),
                self._request_state,
            ):
                with supervision.contain_faults("A step of the gossip failed"):
                    step()
            await trio.sleep(intervals.check_s)
            if is_mesh:
                with trio.move_on_at(self._digest_sent_at + intervals.digest_s):
                    await self._digest_wake.wait()

    def _apply_mode(self) -> None:
        is_mesh = self.is_mesh()
        if is_mesh != self._was_mesh:
            self._was_mesh = is_mesh
            self._change_mode()
        self._view.is_mesh = is_mesh

    def _check_silence(self) -> None:
        self._view.silent_s = self._find_silence_timeout(self._get_intervals())
        self._view.check_silence()

    def _send_due_digest(self) -> None:
        if self._is_digest_due(self._get_intervals()):
            self._send_digest()

    def _send_due_reports(self, is_hurried: bool) -> None:
        if self.is_mesh():
            return
        if self._zone.is_report_due(is_hurried=is_hurried):
            self._send_reports()

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

    def _get_intervals(self) -> timing.GossipIntervals:
        return self._mesh_intervals if self.is_mesh() else self._zone_intervals

    def _find_silence_timeout(self, intervals: timing.GossipIntervals) -> float:
        if self.is_mesh():
            return intervals.silent_s
        return max(
            intervals.silent_s,
            timing.LOST_REPORTS * self._zone.report_interval_s,
        )

    def _is_digest_due(self, intervals: timing.GossipIntervals) -> bool:
        due_s = (
            intervals.min_interval_s
            if self._digest_wake.is_set()
            else intervals.digest_s
        )
        return trio.current_time() >= self._digest_sent_at + due_s

    def _send_digest(self) -> None:
        """Create a digest and send it to the hubs or to all daemons."""
        try:
            self._own_digest = self._create_digest()
        finally:
            # Also after a fault: the next digest is due as usual.
            self._digest_sent_at = trio.current_time()
            self._digest_wake = trio.Event()
        self._zone.set_own_digest(self._own_digest)
        if not self.is_mesh():
            self._send_to_hubs(
                self._zone.create_digest_messages(self._own_digest)
            )
            return
        raw = messages.encode_message(messages.DigestMessage(self._own_digest))
        for address in list(self._links):
            self._send(address, raw)

    def _send_reports(self) -> None:
        """Send reports to the zone and exchanges to other zones' hubs."""
        self._send_to_hubs(self._zone.create_exchanges())
        own, reports = self._zone.create_reports()
        self._handle_report(own)
        for outgoing in reports:
            self._send(outgoing.address, outgoing.raw)

    def _send_to_hubs(self, outgoing: Iterable[zone_mode.Outgoing]) -> None:
        """Send messages to hubs and note that each receiver should report."""
        for one in outgoing:
            if self._send(one.address, one.raw):
                self._zone.note_sent(one.address)

    def _send(self, address: str, raw: bytes) -> bool:
        link = self._links.get(address)
        return link is not None and link.socket.send([raw])

    def _request_state(self) -> None:
        """Request newer state from a peer, if one has it."""
        now = trio.current_time()
        if now < self._state_requested_at + _STATE_REQUEST_INTERVAL_S:
            return
        linked = [p for p in self._list_states() if p.address in self._links]
        source = self._state_transfer.choose_source(
            linked, reads_log=self.needs_log()
        )
        if source is None:
            return
        self._state_requested_at = now
        raw = messages.encode_message(self._state_transfer.create_request())
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
            yield from self._zone.list_peer_states()

    def _list_peers(self) -> list[messages.PeerEntry]:
        own = dataclasses.replace(self._own_address, address=self.address)
        return [
            messages.PeerEntry(p.address, p.zone, p.capacity)
            for p in [*self._known.values(), own]
        ]

    def _update_links(self) -> None:
        """Close links that are not needed any more and create missing ones."""
        assert self._nursery is not None, "links are not running"
        wanted = self._select_peers() - self._invalid
        for address in set(self._links) - wanted:
            self._links[address].cancel_scope.cancel()
        for address in wanted - set(self._links):
            try:
                socket = sockets.connect_dealer(
                    self._context,
                    address,
                    queue_length=_QUEUE_LENGTH,
                    waits_for_peer=False,
                )
            except zmq.ZMQError as error:
                # One peer's invalid address must not end the other links.
                _LOG.write(f"Cannot create a link to {address!r}: {error}.")
                if error.errno == zmq.EINVAL:
                    self._invalid.add(address)
                    self._known.pop(address, None)
                continue
            link = _Link(address, socket)
            self._links[address] = link
            self._nursery.start_soon(
                functools.partial(
                    supervision.run_contained,
                    "link",
                    functools.partial(self._receive_replies, link),
                    address=address,
                )
            )

    def _select_peers(self) -> set[str]:
        if self.is_mesh():
            self._view.is_candidate = True
            return set(self._known)
        peers = self._zone.select_peers(self._known.values())
        self._view.is_candidate = self._zone.is_hub
        now = trio.current_time()
        for address, until in list(self._hub_links_until.items()):
            if until < now:
                del self._hub_links_until[address]
        return peers | set(self._hub_links_until)

    async def _receive_replies(self, link: _Link) -> None:
        """Process a peer's replies until the link is cancelled."""
        try:
            with link.cancel_scope:
                while True:
                    frames = await link.socket.receive()
                    self._handle_message(frames[-1], _drop_reply, link.address)
        finally:
            self._links.pop(link.address, None)
            link.socket.close()


def _drop_reply(message: messages.FleetMessage) -> None:
    """Drop the reply to a request that came over a link for replies."""
    _LOG.write(
        f"Dropped the reply to a request on a reply link: {type(message)}."
    )
