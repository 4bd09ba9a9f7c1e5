"""Find the log lines of one request in the log files of daemons."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["TraceLine", "find_lines", "render_line"]

# Fields of every log line; render_line prints the others as name=value.
_STANDARD_FIELDS = frozenset(
    {
        "message_type",
        "request",
        "source",
        "task_level",
        "task_uuid",
        "text",
        "timestamp",
    }
)


@dataclasses.dataclass(frozen=True)
class TraceLine:
    """One log line.

    Attributes:
        at: Unix time in seconds, by the clock of the daemon.
        source: The instance name of the daemon.
        part: The component of the daemon that logged it.
        text: The message.
        fields: The other fields, such as the status and the runner.
    """

    at: float
    source: str
    part: str
    text: str
    fields: dict[str, Any]


def find_lines(request: str, paths: list[str]) -> list[TraceLine]:
    """Return all log lines of a request, oldest first.

    Args:
        request: The request's id.
        paths: Log files; a prefix before the JSON object of a line, such as
            a log collector's timestamp, is skipped.

    Raises:
        OSError: A file cannot be read.
    """
    found = [
        line
        for path in paths
        for line in _iterate_request_lines(pathlib.Path(path), request)
    ]
    return sorted(found, key=lambda line: line.at)


def render_line(line: TraceLine, start: float) -> str:
    """Return a line as text, its time in ms since `start` (Unix time in s)."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value is not None
    )
    delta_ms = (line.at - start) * 1000
    return (
        f"{delta_ms:9.1f} ms  {line.source}  {line.part}: {line.text}  {fields}"
    )


def _iterate_request_lines(
    path: pathlib.Path, request: str
) -> Iterator[TraceLine]:
    with path.open(encoding="utf-8", errors="replace") as lines:
        for raw_line in lines:
            start = raw_line.find("{")
            if start < 0 or request not in raw_line:
                continue
            try:
                content = json.loads(raw_line[start:])
            except json.JSONDecodeError:
                # The file may also hold the output of other programs.
                continue
            if content.get("request") == request:
                yield _parse_line(content)


def _parse_line(content: dict[str, Any]) -> TraceLine:
    return TraceLine(
        at=float(content.get("timestamp", 0.0)),
        source=str(content.get("source", "")),
        part=str(content.get("message_type", "")),
        text=str(content.get("text", "")),
        fields={k: v for k, v in content.items() if k not in _STANDARD_FIELDS},
    )
