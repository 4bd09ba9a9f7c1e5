"""Print a table of the journal: a row per scenario (day) that was run.

python -m bench.journal_table [--site=NAME] [--day=NAME] [--last=N]
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

from absl import app, flags

from bench import figures

_SITE = flags.DEFINE_string("site", "", "Only sites whose name holds this.")
_DAY = flags.DEFINE_string("day", "", "Only days whose name holds this.")
_LAST = flags.DEFINE_integer("last", 40, "The newest lines.", lower_bound=1)
_JOURNAL_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "journal"
_PRICE_COLUMNS = {
    "seconds of servers ordered": "runners",
    "cloud calls": "calls",
    "duties missed": "duties",
}


def list_rows() -> list[list[str]]:
    """Return a row per day that was run, oldest first."""
    entries = sorted(_JOURNAL_FOLDER.glob("*.json"))
    return [
        row
        for path in entries
        for row in _list_days(json.loads(path.read_text()))
    ]


def _list_days(entry: dict[str, Any]) -> list[list[str]]:
    site = str(entry.get("site", ""))
    return [
        _describe_day(entry, site, day)
        for day in entry.get("days") or []
        if _SITE.value in site and _DAY.value in str(day.get("name", ""))
    ]


def _describe_day(
    entry: dict[str, Any], site: str, day: dict[str, Any]
) -> list[str]:
    amounts = {name: amount for name, _, amount in day.get("prices") or []}
    return [
        entry["at"][0][11:16],
        str(entry.get("head", ""))[:7] + ("+" if entry.get("dirty") else ""),
        site,
        str(day.get("name", "")),
        f"{day.get('G') or 0:.3f}",
        f"{day.get('served') or 0:.3f}",
        *(f"{amounts.get(price) or 0:.3f}" for price in _PRICE_COLUMNS),
        " ".join(day.get("rules") or {}),
    ]


def main(argv: list[str]) -> None:
    """Print the newest rows."""
    del argv
    names = ["at", "code", "site", "day", "worth", "served"]
    names += [*_PRICE_COLUMNS.values(), "broken"]
    figures.print_table(names, list_rows()[-_LAST.value :])


if __name__ == "__main__":
    app.run(main)
