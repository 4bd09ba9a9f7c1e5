"""Answer accepted deferrable requests and renew their records."""

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
        [table.OpenRequest, bytes], Awaitable[Result[bytes, results.Failure]]
    ]

__all__ = ["DeferrableWorker"]

_LOG = logs.create_log("deferrable")
_REVIEW_S = 0.5
_RETRY_S = 0.5
_MAX_RETRY_S = 10.0
# Records of unanswered requests are renewed at this fraction of the retention.
_RENEWAL_AGE_RATIO = 0.5


class DeferrableWorker:
    """Answers the deferrable requests that are assigned to one daemon.

    Of the daemons that follow a ticket's shard, the one that ranks first for
    the ticket answers the request. When that daemon stops or fails, the next
    one does. Two may answer one request for a while; the order of the log
    decides which answer counts.
    """

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
        self._manager = deferrable
        self._shard_map = shard_map
        self._members = members
        self._config_applied = config_applied
        self._retention_s = retention_s
        self._max_parallel = workers
        self._in_progress: set[str] = set()
        self._renewing: set[str] = set()
        self._stopping = trio.Event()

    async def run(
        self,
        perform: Perform,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answer assigned requests until cancelled.

        Args:
            perform: Answers one request from its body.
            task_status: Started once requests can be accepted.
        """
        async with trio.open_nursery() as nursery:
            self._manager.set_nursery(nursery)
            task_status.started()
            while True:
                self._manager.follow_own()
                self._start_assigned(nursery, perform)
                self._renew_old_records(nursery)
                await trio.sleep(_REVIEW_S)

    def hand_over(self) -> None:
        """Cancel the requests in progress; other daemons answer them."""
        self._max_parallel = 0
        self._stopping.set()
        _LOG.write(
            f"Handed {len(self._in_progress)} deferrable requests in progress "
            "over to other daemons."
        )

    def _start_assigned(self, nursery: trio.Nursery, perform: Perform) -> None:
        for work_shard, request in self._list_assigned():
            if len(self._in_progress) >= self._max_parallel:
                return
            if request.ticket not in self._in_progress:
                self._in_progress.add(request.ticket)
                nursery.start_soon(self._process, work_shard, request, perform)

    def _renew_old_records(self, nursery: trio.Nursery) -> None:
        for work_shard, request in self._list_assigned():
            age_s = time.time() - request.written_at
            if age_s < self._retention_s * _RENEWAL_AGE_RATIO:
                continue
            if request.ticket not in self._renewing:
                self._renewing.add(request.ticket)
                nursery.start_soon(self._renew_record, work_shard, request)

    def _list_assigned(self) -> list[tuple[shard.WorkShard, table.OpenRequest]]:
        # In a shard that was not read to its end, requests may look unanswered
        # although their answers follow; they would be answered again.
        return [
            (work_shard, request)
            for number, work_shard in self._manager.list_followed()
            if work_shard.follower.is_caught_up
            for request in work_shard.requests.list_open()
            if self._is_assigned(number, request.ticket)
        ]

    def _is_assigned(self, number: int, ticket: str) -> bool:
        followers = self._shard_map.list_followers(number)
        ranked = rendezvous.rank_candidates(ticket, followers)
        return bool(ranked) and ranked[0] == self._members.me.member

    async def _process(
        self,
        work_shard: shard.WorkShard,
        request: table.OpenRequest,
        perform: Perform,
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_stopping, nursery)
                await self._process_until_answered(work_shard, request, perform)
                nursery.cancel_scope.cancel()
        finally:
            self._in_progress.discard(request.ticket)

    async def _cancel_when_stopping(self, nursery: trio.Nursery) -> None:
        await self._stopping.wait()
        nursery.cancel_scope.cancel()

    async def _process_until_answered(
        self,
        work_shard: shard.WorkShard,
        request: table.OpenRequest,
        perform: Perform,
    ) -> None:
        retry_s = _RETRY_S
        number = self._shard_map.find_shard(request.ticket)
        # With an older configuration the route may be unknown, and the request
        # would be answered with that error.
        await self._config_applied.wait_for(request.config_offset)
        while not request.is_answered and self._is_assigned(
            number, request.ticket
        ):
            body = await work_shard.read_content(request.body)
            if body is not None:
                _LOG.write(
                    f"Started to answer deferrable request {request.ticket}.",
                    ticket=request.ticket,
                )
                answer = await perform(request, body)
                if answer.is_ok():
                    await self._store_answer(work_shard, request, answer.ok)
                    return
                _LOG.write(
                    f"Could not answer deferrable request {request.ticket}: "
                    f"{answer.error.message}.",
                    ticket=request.ticket,
                    code=answer.error.code.value,
                )
            await trio.sleep(retry_s)
            retry_s = min(retry_s * 2, _MAX_RETRY_S)

    async def _store_answer(
        self,
        work_shard: shard.WorkShard,
        request: table.OpenRequest,
        answer: bytes,
    ) -> None:
        while not request.is_answered:
            written = await work_shard.write_content(answer)
            if written.is_ok():
                record = records.Completed(
                    ticket=request.ticket,
                    offset=written.ok.offset,
                    count=written.ok.count,
                )
                appended = await work_shard.append(record)
                if appended.is_ok():
                    await work_shard.follower.applied.wait_for(appended.ok)
                    _LOG.write(
                        "Stored the answer to deferrable request "
                        f"{request.ticket}.",
                        ticket=request.ticket,
                    )
                    return
            await trio.sleep(_RETRY_S)

    async def _renew_record(
        self, work_shard: shard.WorkShard, request: table.OpenRequest
    ) -> None:
        """Append a request again before the log's retention removes it."""
        body = await work_shard.read_content(request.body)
        written = (
            await work_shard.write_content(body) if body is not None else None
        )
        if written is not None and written.is_ok():
            record = records.Accepted(
                ticket=request.ticket,
                team=request.team,
                route=request.route,
                written_at=time.time(),
                config_offset=request.config_offset,
                offset=written.ok.offset,
                count=written.ok.count,
                is_carried=True,
            )
            appended = await work_shard.append(record)
            if appended.is_ok():
                await work_shard.follower.applied.wait_for(appended.ok)
                _LOG.write(
                    f"Renewed the record of deferrable request "
                    f"{request.ticket}.",
                    ticket=request.ticket,
                )
        self._renewing.discard(request.ticket)
