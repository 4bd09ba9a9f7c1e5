"""Execute operators' commands as configuration changes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.config import objects, records
from martenquay_core.language import statements

if TYPE_CHECKING:
    from martenquay_daemon.configuration import changes, store

__all__ = ["CommandResult", "CommandHandler", "CommandRequest"]

_LOG = logs.create_log("operators")


@dataclasses.dataclass(frozen=True)
class CommandRequest:
    """A parsed command with its sender and options.

    Attributes:
        operator: Name of the operator who sent it.
        change_id: Id of the change; makes sending it again idempotent.
        command: The parsed statement.
        wait: Answer only once the change is in force in every zone.
    """

    operator: str
    change_id: str
    command: statements.Command
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """Result of an accepted command.

    Attributes:
        key: Key of the changed object.
        version: New version of the object: the offset of the change.
        change_id: Id of the change.
        reported: Zones that report it in force; empty without waiting.
        missing: Zones that have not reported it; empty without waiting.
    """

    key: str
    version: int
    change_id: str
    reported: list[str]
    missing: list[str]


class CommandHandler:
    """Executes the commands of one partner's operators."""

    def __init__(
        self,
        partner: str,
        config: store.ConfigStore,
        change_submitter: changes.ChangeSubmitter,
    ) -> None:
        self._partner = partner
        self._config = config
        self._changes = change_submitter

    async def execute(
        self, request: CommandRequest
    ) -> Result[CommandResult, results.Failure]:
        """Check a command, append its change and wait for the verdict."""
        key = self._find_key(request.command)
        if key.partner != self._partner:
            code = results.ResultCode.FORBIDDEN
            return Error(results.Failure(code, f"{key} is not yours to change"))
        built = self._build_change(request, key)
        if built.is_error():
            return Error(built.error)
        judged = await self._changes.submit(built.ok)
        if judged.is_error():
            _LOG.write(
                f"Change {request.change_id} to {key} was not confirmed: "
                f"{judged.error.message}.",
                code=judged.error.code.value,
            )
            return Error(judged.error)
        offset = judged.ok.offset
        _LOG.write(
            f"Accepted {request.operator}'s change to {key} at {offset}."
        )
        if not request.wait:
            return Ok(
                CommandResult(str(key), offset, request.change_id, [], [])
            )
        propagation = await self._changes.wait_in_force(offset)
        return Ok(
            CommandResult(
                str(key),
                offset,
                request.change_id,
                propagation.reported,
                propagation.missing,
            )
        )

    def _find_key(self, command: statements.Command) -> objects.ObjectKey:
        partner = command.name.partner or self._partner
        return objects.ObjectKey(
            partner, objects.Kind(command.kind), command.name.name
        )

    def _build_change(
        self, request: CommandRequest, key: objects.ObjectKey
    ) -> Result[records.Change, results.Failure]:
        stored = self._config.state.find(key)
        fields: dict[str, Any] | None
        match request.command:
            case statements.Create(assignments=assignments):
                base = 0
                fields = _collect_fields(assignments)
            case statements.Set(assignments=assignments, version=version):
                if stored is None:
                    return Error(_create_not_found(key))
                base = stored.version if version is None else version
                fields = stored.fields | _collect_fields(assignments)
            case statements.Drop(version=version):
                if stored is None:
                    return Error(_create_not_found(key))
                base = stored.version if version is None else version
                fields = None
        problem = self._find_problem(key, fields)
        if problem:
            code = results.ResultCode.INVALID_VALUE
            return Error(results.Failure(code, problem))
        return Ok(
            records.Change(
                self._partner,
                request.operator,
                request.change_id,
                key.partner,
                key.kind,
                key.name,
                base,
                fields,
            )
        )

    def _find_problem(
        self, key: objects.ObjectKey, fields: dict[str, Any] | None
    ) -> str:
        """Return why the change would be invalid, or an empty string."""
        if fields is None:
            return self._find_dependent(key)
        checked = objects.check_object(key.kind, fields)
        if checked.is_error():
            return checked.error
        match checked.ok:
            case objects.Route(pool=pool) | objects.Limit(pool=pool):
                return self._explain_absence(objects.Kind.POOL, pool)
            case objects.Share(pool=pool):
                return self._explain_absence(objects.Kind.POOL, pool)
            case objects.Rule(route=route, team=team):
                missing_team = self._explain_absence(objects.Kind.TEAM, team)
                return (
                    self._explain_absence(objects.Kind.ROUTE, route)
                    or missing_team
                )
            case _:
                return ""

    def _explain_absence(self, kind: objects.Kind, name: str) -> str:
        key = objects.ObjectKey(self._partner, kind, name)
        return "" if self._config.find(key) else f"there is no {key}"

    def _find_dependent(self, key: objects.ObjectKey) -> str:
        if key.kind is not objects.Kind.POOL:
            return ""
        for name, route in self._config.list_objects(
            self._partner, objects.Kind.ROUTE
        ):
            if isinstance(route, objects.Route) and route.pool == key.name:
                return f"route {name} still uses {key}"
        return ""


def _collect_fields(
    assignments: tuple[statements.Assignment, ...],
) -> dict[str, Any]:
    return {assignment.field: assignment.value for assignment in assignments}


def _create_not_found(key: objects.ObjectKey) -> results.Failure:
    return results.Failure(results.ResultCode.NOT_FOUND, f"there is no {key}")
