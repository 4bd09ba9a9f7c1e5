"""Format replies and failures as tables or JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from martenquay_core import results

if TYPE_CHECKING:
    from martenquay_client import connection

__all__ = ["render_failure", "render_reply"]


def render_reply(reply: connection.Reply, *, as_json: bool) -> str:
    """Return a reply as JSON, a table of rows or a line on the change."""
    if as_json:
        return json.dumps(reply.content, indent=2)
    if not reply.is_query:
        return _render_accepted_change(reply.content)
    lines = _render_table(reply.content["rows"])
    lines += [f"no answer from {name}" for name in reply.content["silent"]]
    return "\n".join(lines)


def render_failure(failure: results.Failure, *, as_json: bool) -> str:
    """Return a failure as JSON or as its message, code and meaning."""
    if as_json:
        return json.dumps(
            {
                "code": failure.code.value,
                "name": failure.code.name,
                "message": failure.message,
            }
        )
    meaning = results.describe_result(failure.code).meaning
    return f"{failure.message}\n{failure.code.value}: {meaning}"


def _render_accepted_change(content: dict[str, Any]) -> str:
    text = f"accepted: {content['key']} is at version {content['version']}"
    if content["reported"]:
        text += f", in force in {', '.join(content['reported'])}"
    return text


def _render_table(rows: list[dict[str, Any]]) -> list[str]:
    if not rows:
        return ["(none)"]
    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = [columns] + [
        [_render_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(row_cells[index]) for row_cells in table)
        for index in range(len(columns))
    ]
    return [
        "  ".join(
            cell.ljust(width)
            for cell, width in zip(row_cells, widths, strict=True)
        ).rstrip()
        for row_cells in table
    ]


def _render_cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}"
        case _:
            return str(value)
