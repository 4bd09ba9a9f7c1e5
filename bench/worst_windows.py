"""Print the windows of a scenario with the lowest scores, and the reasons.

python -m bench.worst_windows --report=FILE --log=FILE [--windows=3]

The report is the file that the users' bench writes with `--report`, the log is
its output with `--log all`. A window is two seconds long and named by its first
second.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import pathlib
import re
from typing import TYPE_CHECKING, Any

from absl import app, flags

from bench import figures

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["list_rows"]

_REPORT = flags.DEFINE_string(
    "report", None, "The day's report.", required=True
)
_LOG = flags.DEFINE_string("log", None, "The processes' lines.", required=True)
_WINDOWS = flags.DEFINE_integer("windows", 3, "How many.", lower_bound=1)
_WINDOW_S = 2
_LINE_PATTERN = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
_MAX_REASONS = 5
_LATE_FIRST_EVENT_MS = 400.0


@dataclasses.dataclass(frozen=True)
class _LogLine:
    """One log line of a process.

    Attributes:
        at_s: Seconds since the start of the scenario.
        fields: Decoded JSON fields of the line.
    """

    at_s: float
    fields: dict[str, Any]


def list_rows(
    report: dict[str, Any], lines: Iterator[_LogLine], count: int
) -> list[list[str]]:
    """Return a row for each of the `count` windows with the lowest scores."""
    reason_counts: dict[int, collections.Counter[str]] = {}
    for line in lines:
        reason = _find_reason(line.fields)
        if reason:
            start_s = int(line.at_s // _WINDOW_S) * _WINDOW_S
            reason_counts.setdefault(start_s, collections.Counter())[
                reason
            ] += 1
    worst = sorted(report["windows"], key=lambda window: window["worth"])[
        :count
    ]
    return [
        _describe(window, reason_counts.get(int(window["name"])))
        for window in worst
    ]


def _describe(
    window: dict[str, Any], reason_counts: collections.Counter[str] | None
) -> list[str]:
    most_common = (reason_counts or collections.Counter()).most_common(
        _MAX_REASONS
    )
    columns = ("worth", "n", "in_aim", "late", "refused", "failed")
    return [
        f"{window['name']} s",
        *(str(window[name]) for name in columns),
        ", ".join(f"{reason} {count}" for reason, count in most_common),
    ]


def _find_reason(fields: dict[str, Any]) -> str:
    """Return why a request was not served in time, or an empty string.

    Args:
        fields: Fields of a log line.
    """
    text = str(fields.get("text", ""))
    if text.startswith("Answered 4") and not text.startswith("Answered 429"):
        # A request with an invalid key or route need not be served.
        return ""
    if text.startswith("Answered"):
        return re.sub(r"(for|team) \S+", r"\1 ...", text.rstrip("."))
    if text.startswith("Attempt"):
        return _find_attempt_reason(fields, text)
    if text == "A caller left.":
        return f"caller left while {fields.get('stage')}"
    return ""


def _find_attempt_reason(fields: dict[str, Any], text: str) -> str:
    outcome = text.rpartition(" ")[2].rstrip(".")
    if outcome not in ("Delivered", "Whole"):
        return f"attempt {outcome}"
    if (fields.get("first_event_ms") or 0.0) < _LATE_FIRST_EVENT_MS:
        return ""
    if not fields.get("has_free_slot", True):
        return "late first event, no free slot"
    if fields["unread"] > fields["uncached"]:
        return "late first event, behind other prompts"
    return "late first event, own prompt"


def _read_lines(path: pathlib.Path) -> Iterator[_LogLine]:
    with path.open() as file:
        for raw in file:
            match = _LINE_PATTERN.match(raw)
            if match is None:
                continue
            try:
                fields = json.loads(match[3])
            except ValueError:
                # A process killed while writing leaves an incomplete line.
                continue
            yield _LogLine(float(match[1]), fields)


def main(argv: list[str]) -> int:
    """Read the report and the log and print the table."""
    del argv
    report = json.loads(pathlib.Path(_REPORT.value).read_text())
    lines = _read_lines(pathlib.Path(_LOG.value))
    figures.print_table(
        [
            "from",
            "worth",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "reasons in the logs, counted",
        ],
        list_rows(report, lines, _WINDOWS.value),
    )
    return 0


if __name__ == "__main__":
    app.run(main)
