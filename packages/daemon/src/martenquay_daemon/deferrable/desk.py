"""Accept deferrable requests, have them worked on, and fetch answers."""

from __future__ import annotations

import dataclasses
import secrets
import time
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.peers import messages
from martenquay_core.platform import outcome
from martenquay_core.util import rendezvous
from martenquay_daemon.deferrable import records, shard
from martenquay_daemon.journal import appender

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.platform import log
    from martenquay_core.util import progress
    from martenquay_daemon.deferrable import table
    from martenquay_daemon.journal import health, shards
    from martenquay_daemon.membership import links
    from martenquay_daemon.membership import table as member_table

    Perform = Callable[[table.Work], Awaitable[Result[bytes, results.Failure]]]

__all__ = ["DeferrableDesk", "TicketState"]

_LOG = logs.create_log("deferrable")
_REVIEW_S = 0.25
_FETCH_S = 2.0
_RETRY_S = 0.5
_LONGEST_RETRY_S = 10.0
_LOG_RETRY_S = 2.0
# Open work is written again when its record has this share of its time left.
_CARRY_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class TicketState:
    """What is known of a ticket.

    Attributes:
        known: It was accepted.
        team: Whose it is.
        answer: The answer, None while there is none.
    """

    known: bool
    team: str = ""
    answer: bytes | None = None


class DeferrableDesk:
    """Deferrable work at one daemon.

    Whoever follows a ticket's stream and ranks first for the ticket works on
    it. When that daemon leaves or dies, the next in rank does. Two may work
    on one ticket for a while; the log's order picks one answer.
    """

    def __init__(
        self,
        client: log.LogClient,
        log_health: health.LogHealth,
        shard_map: shards.ShardMap,
        peers: links.PeerLinks,
        members: member_table.MemberTable,
        config_applied: progress.Progress,
        *,
        spacing_s: float,
        retention_s: float,
        workers: int,
    ) -> None:
        self._client = client
        self._health = log_health
        self._map = shard_map
        self._peers = peers
        self._members = members
        self._perform: Perform | None = None
        self._config_applied = config_applied
        self._spacing_s = spacing_s
        self._retention_s = retention_s
        self._workers = workers
        self._own: dict[int, shard.WorkShard] = {}
        self._appenders: dict[int, appender.StreamAppender] = {}
        self._working: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._stopping = trio.Event()
        self._carrying: set[str] = set()

    async def run(
        self,
        perform: Perform,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow this daemon's streams and work until cancelled.

        Args:
            perform: Answers one request.
            task_status: Is started once requests can be accepted.
        """
        self._perform = perform
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                for number in self._map.list_own():
                    self._follow(number)
                self._start_work(nursery)
                self._carry_old(nursery)
                await trio.sleep(_REVIEW_S)

    def hand_over(self) -> None:
        """Stop working; other daemons adopt what is open."""
        self._workers = 0
        self._stopping.set()
        _LOG.write(f"Handed over {len(self._working)} requests in progress.")

    def count_working(self) -> int:
        """Return how many requests are being worked on here."""
        return len(self._working)

    def list_open(self) -> list[table.Work]:
        """Return the open requests of the streams followed here."""
        return [
            work for own in self._own.values() for work in own.works.list_open()
        ]

    async def accept(
        self, ticket: str, team: str, route: str, body: bytes
    ) -> Result[str, results.Failure]:
        """Put a request into the log; only then is it accepted."""
        if not self._health.is_up:
            return Error(_explain_log_down())
        pieces = records.encode_accepted(
            ticket,
            team,
            route,
            body,
            written_at=time.time(),
            config_offset=self._config_applied.value,
        )
        number = self._map.find_shard(ticket)
        appended = await self._find_appender(number).append_run(pieces)
        match appended:
            case Result(tag="ok"):
                _LOG.write(f"Accepted {ticket} for {team}.", ticket=ticket)
                return Ok(ticket)
            case Result(
                error=outcome.PlatformFailure(effect=outcome.Effect.NOT_DONE)
            ):
                return Error(_explain_log_down())
            case _:
                code = results.ResultCode.UNKNOWN_ANSWER_LOST
                message = f"it may have been accepted; ask for ticket {ticket}"
                return Error(results.Failure(code, message, _LOG_RETRY_S))

    async def fetch(self, ticket: str) -> TicketState:
        """Return what is known of a ticket, here or at a peer."""
        number = self._map.find_shard(ticket)
        if number not in self._own:
            message = messages.FetchAnswer(ticket)
            for member in self._map.list_followers(number):
                reply = await self._peers.request(member, message, _FETCH_S)
                match reply:
                    case Result(tag="ok", ok=messages.AnswerReply() as found):
                        return TicketState(
                            found.known, found.team, found.answer
                        )
                    case _:
                        continue
        await self._catch_up(self._follow(number))
        return self._look_up(number, ticket)

    async def fetch_for_peer(
        self, message: messages.FetchAnswer
    ) -> messages.Message:
        """Answer a peer's question for a ticket."""
        number = self._map.find_shard(message.ticket)
        await self._catch_up(self._follow(number))
        state = self._look_up(number, message.ticket)
        return messages.AnswerReply(state.known, state.team, state.answer)

    def _look_up(self, number: int, ticket: str) -> TicketState:
        work = self._own[number].works.find(ticket)
        if work is None:
            return TicketState(known=False)
        return TicketState(True, work.team, work.answer)

    async def _catch_up(self, own: shard.WorkShard) -> None:
        """Read up to the stream's present end, if the log answers."""
        page = await self._client.read(own.follower.stream, 1, limit=1)
        if page.is_ok():
            with trio.move_on_after(_FETCH_S):
                await own.follower.applied.wait_for(page.ok.end - 1)

    def _follow(self, number: int) -> shard.WorkShard:
        own = self._own.get(number)
        if own is None:
            assert self._nursery is not None, "the desk is not running"
            own = shard.create_shard(
                self._client, self._map.name_stream(number), self._health
            )
            self._own[number] = own
            self._nursery.start_soon(own.run)
            _LOG.write(f"Follow work stream {number}.", shard=number)
        return own

    def _find_appender(self, number: int) -> appender.StreamAppender:
        found = self._appenders.get(number)
        if found is None:
            assert self._nursery is not None, "the desk is not running"
            found = appender.StreamAppender(
                self._client,
                self._map.name_stream(number),
                self._health,
                self._spacing_s,
            )
            self._appenders[number] = found
            self._nursery.start_soon(found.run)
        return found

    def _start_work(self, nursery: trio.Nursery) -> None:
        for number, work in self._list_mine():
            if len(self._working) >= self._workers:
                return
            if work.ticket not in self._working:
                self._working.add(work.ticket)
                nursery.start_soon(self._work, number, work)

    def _carry_old(self, nursery: trio.Nursery) -> None:
        for number, work in self._list_mine():
            age_s = time.time() - work.written_at
            if age_s < self._retention_s * _CARRY_SHARE:
                continue
            if work.ticket not in self._carrying:
                self._carrying.add(work.ticket)
                nursery.start_soon(self._carry_forward, number, work)

    def _list_mine(self) -> list[tuple[int, table.Work]]:
        # A stream read in part shows answered requests as open ones.
        return [
            (number, work)
            for number, own in self._own.items()
            if own.follower.is_current
            for work in own.works.list_open()
            if self._is_mine(number, work.ticket)
        ]

    def _is_mine(self, number: int, ticket: str) -> bool:
        followers = self._map.list_followers(number)
        ranked = rendezvous.rank_candidates(ticket, followers)
        return bool(ranked) and ranked[0] == self._members.me.member

    async def _work(self, number: int, work: table.Work) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_stopping, nursery)
                await self._work_until_done(number, work)
                nursery.cancel_scope.cancel()
        finally:
            self._working.discard(work.ticket)

    async def _cancel_when_stopping(self, nursery: trio.Nursery) -> None:
        await self._stopping.wait()
        nursery.cancel_scope.cancel()

    async def _work_until_done(self, number: int, work: table.Work) -> None:
        wait_s = _RETRY_S
        while work.answer is None and self._is_mine(number, work.ticket):
            _LOG.write(f"Work on {work.ticket}.", ticket=work.ticket)
            assert self._perform is not None, "the desk is not running"
            # By an older configuration its route might not be there yet.
            await self._config_applied.wait_for(work.config_offset)
            answer = await self._perform(work)
            if answer.is_ok():
                await self._complete(number, work, answer.ok)
                return
            _LOG.write(
                f"Work on {work.ticket} failed: {answer.error.message}.",
                ticket=work.ticket,
                code=answer.error.code.value,
            )
            await trio.sleep(wait_s)
            wait_s = min(wait_s * 2, _LONGEST_RETRY_S)

    async def _complete(
        self, number: int, work: table.Work, answer: bytes
    ) -> None:
        pieces = records.encode_completed(
            work.ticket, secrets.token_hex(8), answer
        )
        while work.answer is None:
            appended = await self._find_appender(number).append_run(pieces)
            if appended.is_ok():
                await self._own[number].follower.applied.wait_for(
                    appended.ok + len(pieces) - 1
                )
                _LOG.write(f"Answered {work.ticket}.", ticket=work.ticket)
                return
            await trio.sleep(_RETRY_S)

    async def _carry_forward(self, number: int, work: table.Work) -> None:
        """Write open work again before the log forgets it."""
        pieces = records.encode_accepted(
            work.ticket,
            work.team,
            work.route,
            work.body,
            written_at=time.time(),
            config_offset=work.config_offset,
        )
        appended = await self._find_appender(number).append_run(pieces)
        if appended.is_ok():
            await self._own[number].follower.applied.wait_for(appended.ok)
            _LOG.write(f"Carried {work.ticket} forward.", ticket=work.ticket)
        self._carrying.discard(work.ticket)


def _explain_log_down() -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_LOG_DOWN,
        "the log, which has to keep the request, does not answer",
        _LOG_RETRY_S,
    )
