"""Say what the worst windows of a played day lost, and for what reason.

python -m bench.worst_windows --report=FILE --log=FILE [--windows=3]

The report is what a play wrote with `--report`, the log what it printed with
`--log all`. Windows are two seconds long and named by their first second.
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
_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
# What a window may name beside its figures; more says little.
_REASONS = 5
_LATE_MS = 400.0


@dataclasses.dataclass(frozen=True)
class _Line:
    """One line of a process.

    Attributes:
        at_s: In the day's time.
        fields: What it holds.
    """

    at_s: float
    fields: dict[str, Any]


def list_rows(
    report: dict[str, Any], lines: Iterator[_Line], count: int
) -> list[list[str]]:
    """Return a row for each of the worst windows."""
    reasons: dict[int, collections.Counter[str]] = {}
    for line in lines:
        reason = _find_reason(line.fields)
        if reason:
            window = int(line.at_s // _WINDOW_S) * _WINDOW_S
            reasons.setdefault(window, collections.Counter())[reason] += 1
    worst = sorted(report["windows"], key=lambda one: one["worth"])[:count]
    return [_describe(one, reasons.get(int(one["name"]))) for one in worst]


def _describe(
    window: dict[str, Any], reasons: collections.Counter[str] | None
) -> list[str]:
    found = (reasons or collections.Counter()).most_common(_REASONS)
    columns = ("worth", "n", "in_aim", "late", "refused", "failed")
    return [
        f"{window['name']} s",
        *(str(window[name]) for name in columns),
        ", ".join(f"{reason} {times}" for reason, times in found),
    ]


def _find_reason(fields: dict[str, Any]) -> str:
    """Return why a line tells of a request that was not served in time."""
    text = str(fields.get("text", ""))
    if text.startswith("Answered 4") and not text.startswith("Answered 429"):
        # Nothing is owed to a wrong key or route.
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
    if (fields.get("first_event_ms") or 0.0) < _LATE_MS:
        return ""
    if not fields.get("has_free_slot", True):
        return "late first event, no free slot"
    if fields["unread"] > fields["uncached"]:
        return "late first event, behind other prompts"
    return "late first event, own prompt"


def _read_lines(path: pathlib.Path) -> Iterator[_Line]:
    with path.open() as file:
        for raw in file:
            found = _LINE.match(raw)
            if found is None:
                continue
            try:
                fields = json.loads(found[3])
            except ValueError:
                # A line that a kill cut short.
                continue
            yield _Line(float(found[1]), fields)


def main(argv: list[str]) -> int:
    """Print the table."""
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
