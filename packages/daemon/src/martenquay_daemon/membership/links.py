"""Send heartbeats, membership updates and requests to other daemons.

Each link has a task of its own. Rendezvous hashing chooses the peers: all
daemons of a small zone, a fixed number of a large one and of each other zone.
"""

from __future__ import annotations

import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING

import msgspec
import trio
import zmq
from expression import Error, Ok, Result

from martenquay_core import logs
from martenquay_core.peers import messages, sockets
from martenquay_core.util import rendezvous
from martenquay_daemon import supervision

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.settings import models
    from martenquay_daemon.membership import table

__all__ = ["PeerAddress", "PeerFailure", "PeerLinks"]

_LOG = logs.create_log("peers")
LINKS_IN_ZONE = 6
LINKS_TO_ZONE = 1
_IDLE_TIMEOUT_S = 30.0
_MAX_UPDATES = 500
_MIN_HEARTBEAT_INTERVAL_S = 0.02
_REQUEST_FRAMES = 3
_REPLY_FRAMES = 2


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Address of a peer in the instance list.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        address: Address of its peer link.
    """

    instance: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True)
class PeerFailure:
    """Failure of a request to a peer, which may have processed it.

    Attributes:
        message: Reason, as a sentence for the log.
    """

    message: str


@dataclasses.dataclass
class _PendingRequest:
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: messages.Message | None = None


@dataclasses.dataclass
class _Link:
    address: str
    socket: sockets.PeerSocket
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    pending: dict[bytes, _PendingRequest] = dataclasses.field(
        default_factory=dict
    )
    member: str = ""
    sent_version: int = 0
    used_at: float = dataclasses.field(default_factory=trio.current_time)


class PeerLinks:
    """Links to other daemons, and the socket that answers theirs.

    Attributes:
        address: Address of this daemon's socket, once it runs.
    """

    def __init__(
        self,
        members: table.MemberTable,
        settings: models.DaemonSettings,
        handle_request: Callable[
            [messages.Message], Awaitable[messages.Message]
        ],
    ) -> None:
        self.address = ""
        self._members = members
        self._settings = settings
        self._handle_request = handle_request
        self._context = zmq.Context()
        self._links: dict[str, _Link] = {}
        self._chosen: set[str] = set()
        self._request_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Answer requests and run the links until cancelled."""
        router = sockets.bind_router(self._context, self._settings.listen.peers)
        self.address = router.address
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(
                    supervision.keep_running, "ticks", self._run_ticks
                )
                # No other peers are known until the instance list is read.
                for address in self._settings.seeds:
                    self._open_link(address)
                task_status.started(router.address)
                await supervision.keep_running(
                    "peers", functools.partial(self._serve, router, nursery)
                )
        finally:
            router.close()
            self._context.destroy(linger=0)

    def choose_links(self, peers: list[PeerAddress]) -> None:
        """Open links to the peers chosen by hashing; close other idle links."""
        own = self._settings.instance
        others = [peer for peer in peers if peer.instance != own]
        chosen = _choose_peers(own, self._settings.zone, others)
        self._chosen = {peer.address for peer in chosen}
        for address in self._chosen - set(self._links):
            try:
                self._open_link(address)
            except zmq.ZMQError as error:
                # One peer's invalid address must not keep back other links.
                _LOG.write(f"Cannot create a link to {address!r}: {error}.")
        for link in list(self._links.values()):
            idle_s = trio.current_time() - link.used_at
            if link.address not in self._chosen and idle_s > _IDLE_TIMEOUT_S:
                link.scope.cancel()

    async def request(
        self, member: str, message: messages.Message, timeout_s: float
    ) -> Result[messages.Message, PeerFailure]:
        """Send a request to a daemon and wait for its reply."""
        known = self._members.find(member)
        if known is None:
            return Error(PeerFailure(f"daemon {member} is unknown"))
        link = self._links.get(known.address) or self._open_link(known.address)
        link.used_at = trio.current_time()
        return await self._send_request(link, message, timeout_s)

    async def _serve(
        self, router: sockets.PeerSocket, nursery: trio.Nursery
    ) -> None:
        while True:
            frames = await router.receive()
            if len(frames) != _REQUEST_FRAMES:
                continue
            peer, request_id, payload = frames
            try:
                message = messages.decode_message(payload)
            except msgspec.MsgspecError as error:
                _LOG.write(f"Dropped a malformed message of a peer: {error}.")
                continue
            if isinstance(message, messages.Heartbeat):
                # Answered without a task: most messages are heartbeats.
                with supervision.contain_faults("A heartbeat failed"):
                    reply = self._handle_heartbeat(message)
                    raw = messages.encode_message(reply)
                    router.send([peer, request_id, raw])
            else:
                answer = functools.partial(
                    self._answer_request, router, peer, request_id, message
                )
                nursery.start_soon(
                    supervision.run_contained, "peer request", answer
                )

    async def _answer_request(
        self,
        router: sockets.PeerSocket,
        peer: bytes,
        request_id: bytes,
        message: messages.Message,
    ) -> None:
        reply = await self._handle_request(message)
        router.send([peer, request_id, messages.encode_message(reply)])

    def _handle_heartbeat(
        self, message: messages.Heartbeat
    ) -> messages.Message:
        for update in message.updates:
            self._members.merge(update)
        self._members.note_applied(message.member, message.applied)
        updates = self._members.list_reports_to_refute(message.member)
        if message.is_new:
            updates, _ = self._members.list_changes_since(0, _MAX_UPDATES)
        return messages.HeartbeatReply(
            self._members.me.member, self._members.applied, updates
        )

    def _open_link(self, address: str) -> _Link:
        assert self._nursery is not None, "links are not running"
        link = _Link(address, sockets.connect_dealer(self._context, address))
        self._links[address] = link
        self._nursery.start_soon(
            supervision.run_contained,
            "link",
            functools.partial(self._run_link, link),
        )
        return link

    async def _run_link(self, link: _Link) -> None:
        try:
            with link.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_replies, link)
                    await self._send_heartbeats(link)
        finally:
            self._links.pop(link.address, None)
            link.socket.close()

    async def _read_replies(self, link: _Link) -> None:
        while True:
            frames = await link.socket.receive()
            if len(frames) != _REPLY_FRAMES:
                _LOG.write(f"Dropped a reply of {len(frames)} frames.")
                continue
            request_id, payload = frames
            pending_request = link.pending.pop(request_id, None)
            if pending_request is None:
                continue
            try:
                pending_request.reply = messages.decode_message(payload)
            except msgspec.MsgspecError as error:
                _LOG.write(f"Dropped a malformed reply of a peer: {error}.")
                continue
            pending_request.done.set()

    async def _send_heartbeats(self, link: _Link) -> None:
        interval_s = self._settings.timing.heartbeat_s
        max_missed = self._settings.timing.suspect_after_s / interval_s
        missed = 0
        while True:
            started = trio.current_time()
            urgent_count = self._members.urgent.value
            if await self._send_heartbeat(link, interval_s):
                missed = 0
            else:
                missed += 1
                link.sent_version = 0
            if missed >= max_missed and link.member:
                self._members.suspect(link.member)
            # Changes in quick succession share one heartbeat.
            await trio.sleep(min(_MIN_HEARTBEAT_INTERVAL_S, interval_s))
            with trio.move_on_at(started + interval_s):
                await self._members.urgent.wait_beyond(urgent_count)

    async def _send_heartbeat(self, link: _Link, timeout_s: float) -> bool:
        updates, reached = self._members.list_changes_since(
            link.sent_version, _MAX_UPDATES
        )
        message = messages.Heartbeat(
            self._members.me.member,
            self._members.applied,
            updates,
            self._members.find(link.member) is None,
        )
        reply = await self._send_request(link, message, timeout_s)
        match reply:
            case Result(tag="ok", ok=messages.HeartbeatReply() as heartbeat):
                link.member = heartbeat.member
                self._members.note_applied(heartbeat.member, heartbeat.applied)
                link.sent_version = reached
                for update in heartbeat.updates:
                    self._members.merge(update)
                return True
            case _:
                return False

    async def _send_request(
        self, link: _Link, message: messages.Message, timeout_s: float
    ) -> Result[messages.Message, PeerFailure]:
        request_id = next(self._request_ids).to_bytes(8, "big")
        pending_request = _PendingRequest()
        link.pending[request_id] = pending_request
        try:
            payload = messages.encode_message(message)
            if not link.socket.send([request_id, payload]):
                return Error(
                    PeerFailure(f"the send queue to {link.address} is full")
                )
            with trio.move_on_after(timeout_s):
                await pending_request.done.wait()
        finally:
            link.pending.pop(request_id, None)
        if pending_request.reply is None:
            return Error(PeerFailure(f"{link.address} did not answer in time"))
        return Ok(pending_request.reply)

    async def _run_ticks(self) -> None:
        while True:
            await trio.sleep(self._settings.timing.heartbeat_s)
            self._members.tick()


def _choose_peers(
    own: str, zone: str, peers: list[PeerAddress]
) -> list[PeerAddress]:
    by_zone: dict[str, dict[str, PeerAddress]] = {}
    for peer in peers:
        by_zone.setdefault(peer.zone, {})[peer.instance] = peer
    chosen: list[PeerAddress] = []
    for peer_zone, members in by_zone.items():
        count = LINKS_IN_ZONE if peer_zone == zone else LINKS_TO_ZONE
        ranked = rendezvous.rank_candidates(own, members)
        chosen.extend(members[name] for name in ranked[:count])
    return chosen
