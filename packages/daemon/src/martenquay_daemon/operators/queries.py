"""Answer operators' queries from this daemon and its peers."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.config import fold, objects
from martenquay_core.language import statements
from martenquay_core.peers import messages
from martenquay_daemon.operators import rows

if TYPE_CHECKING:
    from martenquay_daemon.configuration import store
    from martenquay_daemon.deferrable import manager
    from martenquay_daemon.dispatch import registry
    from martenquay_daemon.journal import health
    from martenquay_daemon.limits import ejection
    from martenquay_daemon.membership import directory, links, table
    from martenquay_daemon.routing import loads

__all__ = ["QueryResult", "QueryHandler"]

_PEER_TIMEOUT_S = 1.0
_HIDDEN_FIELDS = {"credential"}
_KINDS_BY_NOUN = {
    "teams": objects.Kind.TEAM,
    "pools": objects.Kind.POOL,
    "routes": objects.Kind.ROUTE,
    "rules": objects.Kind.RULE,
    "limits": objects.Kind.LIMIT,
    "shares": objects.Kind.SHARE,
}
# Each daemon has only its own rows of these, so all daemons of the partner are
# asked.
_PER_DAEMON_NOUNS = {"requests", "tickets", "config"}
_WHY = "why"


@dataclasses.dataclass(frozen=True)
class QueryResult:
    """Result of a query.

    Attributes:
        rows: One JSON object per row.
        silent: Daemons that were asked and did not answer.
    """

    rows: list[dict[str, Any]]
    silent: list[str]


class QueryHandler:
    """Answers queries that reach this daemon."""

    def __init__(
        self,
        config: store.ConfigStore,
        members: table.MemberTable,
        runners: directory.RunnerDirectory,
        load_book: loads.LoadBook,
        ejector: ejection.Ejector,
        requests: registry.RequestRegistry,
        deferrable: manager.DeferrableManager,
        log_health: health.LogHealth,
        peers: links.PeerLinks,
    ) -> None:
        self._config = config
        self._members = members
        self._runners = runners
        self._loads = load_book
        self._ejector = ejector
        self._requests = requests
        self._deferrable = deferrable
        self._health = log_health
        self._peers = peers

    async def answer(
        self, query: statements.Query
    ) -> Result[QueryResult, results.Failure]:
        """Return the rows that match a query.

        Returns:
            The rows, possibly none; a failure if the query names a request or
            an object and no row matches.
        """
        match query:
            case statements.Why(request_id=request_id):
                found = await self._collect_from_daemons(_WHY, request_id)
                if not found.rows:
                    message = f"no decision on {request_id!r} is kept"
                    code = results.ResultCode.NOT_FOUND
                    return Error(results.Failure(code, message))
                return Ok(found)
            case statements.Show(noun=noun) if noun in _PER_DAEMON_NOUNS:
                found = await self._collect_from_daemons(noun, "")
            case statements.Show(noun=noun):
                found = QueryResult(self._list_shared(noun), [])
        kept = rows.filter_rows(found.rows, query)
        if query.name is not None and not kept:
            message = f"no {query.noun} named {query.name.name!r}"
            code = results.ResultCode.NOT_FOUND
            return Error(results.Failure(code, message))
        return Ok(QueryResult(kept, found.silent))

    def answer_peer(self, message: messages.FetchRows) -> messages.Message:
        """Return this daemon's rows as the reply to a peer."""
        own = self._list_own(message.noun, message.argument)
        return messages.RowsReply(msgspec.json.encode(own))

    async def _collect_from_daemons(
        self, noun: str, argument: str
    ) -> QueryResult:
        found = self._list_own(noun, argument)
        silent: list[str] = []
        me = self._members.me
        message = messages.FetchRows(noun, argument)

        async def ask(member: str) -> None:
            reply = await self._peers.request(member, message, _PEER_TIMEOUT_S)
            match reply:
                case Result(tag="ok", ok=messages.RowsReply(rows=raw)):
                    found.extend(msgspec.json.decode(raw))
                case _:
                    silent.append(member)

        async with trio.open_nursery() as nursery:
            for member in self._members.list_members(me.partner):
                is_other = member.member != me.member
                if is_other and member.state is not messages.MemberState.DEAD:
                    nursery.start_soon(ask, member.member)
        if noun == "tickets":
            found = list({row["name"]: row for row in found}.values())
        return QueryResult(found, sorted(silent))

    def _list_own(self, noun: str, argument: str) -> list[dict[str, Any]]:
        match noun:
            case "requests":
                return rows.render_rows(self._list_requests())
            case "config":
                return rows.render_rows(self._list_config())
            case "tickets":
                return rows.render_rows(self._list_tickets())
            case "why":
                return rows.render_rows(self._list_decisions(argument))
            case _:
                return []

    def _list_shared(self, noun: str) -> list[dict[str, Any]]:
        match noun:
            case "runners":
                return rows.render_rows(self._list_runners())
            case "daemons":
                return rows.render_rows(self._list_daemons())
            case _:
                return rows.render_rows(
                    self._list_objects(_KINDS_BY_NOUN[noun])
                )

    def _list_runners(self) -> list[rows.RunnerRow]:
        return [
            rows.RunnerRow(
                runner.name,
                runner.partner,
                runner.pool,
                runner.zone,
                runner.machine_class,
                runner.price,
                self._describe_state(runner.name),
                self._loads.count_ahead(runner.name),
                self._loads.get(runner.name).in_flight,
            )
            for runner in self._runners.list_all()
        ]

    def _describe_state(self, runner: str) -> str:
        if not self._runners.may_get_work(runner):
            return "leaving"
        return "ejected" if self._ejector.is_ejected(runner) else "live"

    def _list_daemons(self) -> list[rows.DaemonRow]:
        return [
            rows.DaemonRow(
                member.member,
                member.partner,
                member.zone,
                member.state.name.lower(),
            )
            for member in self._members.list_members()
        ]

    def _list_requests(self) -> list[rows.RequestRow]:
        now = time.time()
        return [
            rows.RequestRow(
                request.request_id,
                self._members.me.member,
                request.team,
                request.route,
                request.urgency,
                request.runner,
                request.zone,
                request.tokens,
                round(now - request.started_at, 3),
            )
            for request in self._requests.list_running()
        ]

    def _list_tickets(self) -> list[rows.TicketRow]:
        now = time.time()
        return [
            rows.TicketRow(
                work.ticket,
                work.team,
                work.route,
                round(now - work.written_at, 3),
            )
            for work in self._deferrable.list_open()
        ]

    def _list_decisions(self, request_id: str) -> list[rows.DecisionRow]:
        return [
            rows.DecisionRow(
                decision.request_id,
                self._members.me.member,
                decision.at,
                decision.runner,
                decision.reason,
            )
            for decision in self._requests.list_decisions(request_id)
        ]

    def _list_config(self) -> list[rows.ConfigRow]:
        since_s = trio.current_time() - self._health.changed_at
        is_up = self._health.is_up
        return [
            rows.ConfigRow(
                self._members.me.member,
                state.applied,
                "log" if is_up else "none",
                0.0 if is_up else round(since_s, 1),
                fold.digest_partner(state),
                partner,
            )
            for partner, state in self._config.state.partners.items()
        ]

    def _list_objects(self, kind: objects.Kind) -> list[rows.ObjectRow]:
        return [
            rows.ObjectRow(
                key.name,
                key.partner,
                stored.version,
                stored.operator,
                {
                    name: value
                    for name, value in stored.fields.items()
                    if name not in _HIDDEN_FIELDS
                },
            )
            for key, stored in self._config.state.iterate(kind)
        ]
