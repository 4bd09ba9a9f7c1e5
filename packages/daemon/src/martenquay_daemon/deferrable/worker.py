"""Work on accepted requests until each has its answer in the log.

Whoever follows a ticket's stream and ranks first for the ticket works on it.
When that daemon leaves or dies, the next in rank does. Two may work on one
ticket for a while; the log's order picks one answer.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import rendezvous
from martenquay_daemon.deferrable import records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from expression import Result

    from martenquay_core import results
    from martenquay_core.util import progress
    from martenquay_daemon.deferrable import manager, shard, table
    from martenquay_daemon.journal import shards
    from martenquay_daemon.membership import table as member_table

    Perform = Callable[
        [table.Work, bytes], Awaitable[Result[bytes, results.Failure]]
    ]

__all__ = ["DeferrableWorker"]

_LOG = logs.create_log("deferrable")
_REVIEW_S = 0.5
_RETRY_S = 0.5
_LONGEST_RETRY_S = 10.0
# Open work is written again when its record has this share of its time left.
_CARRY_SHARE = 0.5


class DeferrableWorker:
    """Work on the requests that fall to one daemon."""

    def __init__(
        self,
        deferrable: manager.DeferrableManager,
        shard_map: shards.ShardMap,
        members: member_table.MemberTable,
        config_applied: progress.Progress,
        *,
        retention_s: float,
        workers: int,
    ) -> None:
        self._desk = deferrable
        self._map = shard_map
        self._members = members
        self._config_applied = config_applied
        self._retention_s = retention_s
        self._workers = workers
        self._working: set[str] = set()
        self._carrying: set[str] = set()
        self._stopping = trio.Event()

    async def run(
        self,
        perform: Perform,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Work until cancelled.

        Args:
            perform: Answers one request from its body.
            task_status: Is started once requests can be accepted.
        """
        async with trio.open_nursery() as nursery:
            self._desk.start_in(nursery)
            task_status.started()
            while True:
                self._desk.follow_own()
                self._start_work(nursery, perform)
                self._carry_old(nursery)
                await trio.sleep(_REVIEW_S)

    def hand_over(self) -> None:
        """Stop working; other daemons adopt what is open."""
        self._workers = 0
        self._stopping.set()
        _LOG.write(f"Handed over {len(self._working)} requests in progress.")

    def _start_work(self, nursery: trio.Nursery, perform: Perform) -> None:
        for own, work in self._list_mine():
            if len(self._working) >= self._workers:
                return
            if work.ticket not in self._working:
                self._working.add(work.ticket)
                nursery.start_soon(self._work, own, work, perform)

    def _carry_old(self, nursery: trio.Nursery) -> None:
        for own, work in self._list_mine():
            age_s = time.time() - work.written_at
            if age_s < self._retention_s * _CARRY_SHARE:
                continue
            if work.ticket not in self._carrying:
                self._carrying.add(work.ticket)
                nursery.start_soon(self._carry_forward, own, work)

    def _list_mine(self) -> list[tuple[shard.WorkShard, table.Work]]:
        # A stream read in part shows answered requests as open ones.
        return [
            (own, work)
            for number, own in self._desk.list_followed()
            if own.follower.is_current
            for work in own.works.list_open()
            if self._is_mine(number, work.ticket)
        ]

    def _is_mine(self, number: int, ticket: str) -> bool:
        followers = self._map.list_followers(number)
        ranked = rendezvous.rank_candidates(ticket, followers)
        return bool(ranked) and ranked[0] == self._members.me.member

    async def _work(
        self, own: shard.WorkShard, work: table.Work, perform: Perform
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_stopping, nursery)
                await self._work_until_done(own, work, perform)
                nursery.cancel_scope.cancel()
        finally:
            self._working.discard(work.ticket)

    async def _cancel_when_stopping(self, nursery: trio.Nursery) -> None:
        await self._stopping.wait()
        nursery.cancel_scope.cancel()

    async def _work_until_done(
        self, own: shard.WorkShard, work: table.Work, perform: Perform
    ) -> None:
        wait_s = _RETRY_S
        number = self._map.find_shard(work.ticket)
        # By an older configuration its route might not be there yet.
        await self._config_applied.wait_for(work.config_offset)
        while not work.is_answered and self._is_mine(number, work.ticket):
            body = await own.read_content(work.body)
            if body is not None:
                _LOG.write(f"Work on {work.ticket}.", ticket=work.ticket)
                answer = await perform(work, body)
                if answer.is_ok():
                    await self._complete(own, work, answer.ok)
                    return
                _LOG.write(
                    f"Work on {work.ticket} failed: {answer.error.message}.",
                    ticket=work.ticket,
                    code=answer.error.code.value,
                )
            await trio.sleep(wait_s)
            wait_s = min(wait_s * 2, _LONGEST_RETRY_S)

    async def _complete(
        self, own: shard.WorkShard, work: table.Work, answer: bytes
    ) -> None:
        while not work.is_answered:
            written = await own.write_content(answer)
            if written.is_ok():
                record = records.Completed(
                    ticket=work.ticket,
                    offset=written.ok.offset,
                    count=written.ok.count,
                )
                appended = await own.append(record)
                if appended.is_ok():
                    await own.follower.applied.wait_for(appended.ok)
                    _LOG.write(f"Answered {work.ticket}.", ticket=work.ticket)
                    return
            await trio.sleep(_RETRY_S)

    async def _carry_forward(
        self, own: shard.WorkShard, work: table.Work
    ) -> None:
        """Write open work again before the log forgets it."""
        body = await own.read_content(work.body)
        written = await own.write_content(body) if body is not None else None
        if written is not None and written.is_ok():
            record = records.Accepted(
                ticket=work.ticket,
                team=work.team,
                route=work.route,
                written_at=time.time(),
                config_offset=work.config_offset,
                offset=written.ok.offset,
                count=written.ok.count,
                is_carried=True,
            )
            appended = await own.append(record)
            if appended.is_ok():
                await own.follower.applied.wait_for(appended.ok)
                _LOG.write(
                    f"Carried {work.ticket} forward.", ticket=work.ticket
                )
        self._carrying.discard(work.ticket)
