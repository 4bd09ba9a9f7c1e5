"""Accept deferrable requests and fetch their answers."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.peers import messages
from martenquay_core.platform import outcome
from martenquay_daemon.deferrable import records, shard, table

if TYPE_CHECKING:
    import trio

    from martenquay_core.platform import log
    from martenquay_core.util import progress
    from martenquay_daemon.journal import health, shards
    from martenquay_daemon.membership import links

__all__ = ["DeferrableManager", "TicketState"]

_LOG = logs.create_log("deferrable")
_FETCH_TIMEOUT_S = 2.0
_LOG_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True)
class TicketState:
    """State of the deferrable request with a given ticket.

    Attributes:
        known: Whether the request was accepted.
        answer: The answer, or None while it is missing or cannot be read.
    """

    known: bool
    answer: bytes | None = None


class DeferrableManager:
    """Accepts deferrable requests of one partner and looks up their answers.

    Each request belongs to the shard of its ticket. A daemon can append to any
    shard, but follows only those that the shard map assigns to it and those of
    tickets that no other daemon could look up.
    """

    def __init__(
        self,
        client: log.LogClient,
        log_health: health.LogHealth,
        shard_map: shards.ShardMap,
        peers: links.PeerLinks,
        config_applied: progress.Progress,
        min_interval_s: float,
    ) -> None:
        self._client = client
        self._health = log_health
        self._shard_map = shard_map
        self._peers = peers
        self._config_applied = config_applied
        self._min_interval_s = min_interval_s
        self._shards: dict[int, shard.WorkShard] = {}
        self._followed: set[int] = set()
        self._nursery: trio.Nursery | None = None

    def set_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that runs the tasks of the shards."""
        self._nursery = nursery

    def follow_own(self) -> None:
        """Follow the shards that the shard map assigns to this daemon."""
        for number in self._shard_map.list_own():
            self._ensure_followed(number)

    def list_followed(self) -> list[tuple[int, shard.WorkShard]]:
        """Return the followed shards with their numbers."""
        return [(number, self._shards[number]) for number in self._followed]

    def list_open(self) -> list[table.OpenRequest]:
        """Return the unanswered requests of the followed shards."""
        return [
            request
            for _, work_shard in self.list_followed()
            for request in work_shard.requests.list_open()
        ]

    async def accept(
        self, ticket: str, team: str, route: str, body: bytes
    ) -> Result[str, results.Failure]:
        """Append a request to the log.

        Returns:
            The ticket once the request is stored, otherwise why it was not
            accepted or may not have been.
        """
        if not self._health.is_up:
            return Error(_create_log_down_failure())
        work_shard = self._get_shard(self._shard_map.find_shard(ticket))
        written = await work_shard.write_content(body)
        if written.is_error():
            # Even if the body was appended: without an `Accepted` record that
            # refers to it, the request does not exist.
            return Error(_create_log_down_failure())
        record = records.Accepted(
            ticket=ticket,
            team=team,
            route=route,
            written_at=time.time(),
            config_offset=self._config_applied.value,
            offset=written.ok.offset,
            count=written.ok.count,
        )
        match await work_shard.append(record):
            case Result(tag="ok"):
                _LOG.write(
                    f"Accepted deferrable request {ticket} of team {team}.",
                    ticket=ticket,
                )
                return Ok(ticket)
            case Result(
                error=outcome.PlatformFailure(effect=outcome.Effect.NOT_DONE)
            ):
                return Error(_create_log_down_failure())
            case _:
                code = results.ResultCode.UNKNOWN_ANSWER_LOST
                message = f"it may have been accepted; ask for ticket {ticket}"
                return Error(results.Failure(code, message, _LOG_RETRY_AFTER_S))

    async def fetch(self, ticket: str) -> TicketState:
        """Return the state of a ticket, from a peer if it follows the shard."""
        number = self._shard_map.find_shard(ticket)
        if number not in self._followed:
            message = messages.FetchAnswer(ticket)
            for member in self._shard_map.list_followers(number):
                reply = await self._peers.request(
                    member, message, _FETCH_TIMEOUT_S
                )
                match reply:
                    case Result(tag="ok", ok=messages.AnswerReply() as found):
                        return TicketState(found.known, found.answer)
                    case _:
                        continue
        return await self._read_state(number, ticket)

    async def fetch_for_peer(
        self, message: messages.FetchAnswer
    ) -> messages.Message:
        """Return the state of a ticket to a peer."""
        number = self._shard_map.find_shard(message.ticket)
        state = await self._read_state(number, message.ticket)
        return messages.AnswerReply(state.known, state.answer)

    async def _read_state(self, number: int, ticket: str) -> TicketState:
        work_shard = self._ensure_followed(number)
        await work_shard.catch_up(_FETCH_TIMEOUT_S)
        location = work_shard.requests.find_answer(ticket)
        if location is not None:
            return TicketState(True, await work_shard.read_content(location))
        return TicketState(work_shard.requests.find_open(ticket) is not None)

    def _ensure_followed(self, number: int) -> shard.WorkShard:
        work_shard = self._get_shard(number)
        if number not in self._followed:
            assert self._nursery is not None, "the worker is not running"
            self._followed.add(number)
            self._nursery.start_soon(work_shard.run_follower)
            _LOG.write(f"Started to follow work shard {number}.", shard=number)
        return work_shard

    def _get_shard(self, number: int) -> shard.WorkShard:
        found = self._shards.get(number)
        if found is None:
            assert self._nursery is not None, "the worker is not running"
            found = self._shards[number] = shard.create_shard(
                self._client,
                self._shard_map.name_stream(number),
                self._health,
                self._min_interval_s,
            )
            self._nursery.start_soon(found.run_appenders)
        return found


def _create_log_down_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.NOT_RUN_LOG_DOWN,
        "the log, which has to keep the request, does not answer",
        _LOG_RETRY_AFTER_S,
    )
