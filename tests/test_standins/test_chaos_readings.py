"""Final readings are comparable: all daemons are read at one end of the log.

Guards against reporting a difference for a change made between two readings.
"""

from __future__ import annotations

import dataclasses
import json
import types

import testtools
import trio

from martenquay_core.util import http
from martenquay_standins.chaos import history, readings


@dataclasses.dataclass
class _Record:
    offset: int


class _GrowingLog:
    """Log that grows after the first reading."""

    def __init__(self) -> None:
        self.end = 24

    async def wait_settled(self) -> None:
        """Return at once: no append is delayed."""

    def list_records(self, name: str) -> list[_Record]:
        """Return the last record."""
        del name
        return [_Record(self.end)]


class LastReadingsTest(testtools.TestCase):
    def test_a_change_between_two_readings_is_no_difference(self) -> None:
        log = _GrowingLog()

        async def ask(partner: str, text: str, daemon) -> http.Answer:
            rows = [{"partner": partner, "version": log.end, "weight": 1.0}]
            if text == "show config":
                rows = [{"name": daemon.member, "applied": log.end}]
            else:
                log.end = 27
            return http.Answer(200, [], json.dumps({"rows": rows}).encode())

        async def scenario() -> list[history.Observation]:
            names = ("entry-a", "entry-b")
            members = [types.SimpleNamespace(member=name) for name in names]
            return await readings.read_finals(
                readings.ConfigReader(ask), log, {"serrana": members}
            )

        recorded = history.History()
        recorded.observations = trio.run(scenario)
        self.assertEqual([], history.find_breaches(recorded))
        finals = [
            seen.version for seen in recorded.observations if seen.is_final
        ]
        self.assertEqual([27, 27], finals)
        self.assertEqual(4, len(recorded.observations) - len(finals))

    def test_daemons_that_differ_at_one_end_are_still_rejected(self) -> None:
        log = _GrowingLog()

        async def ask(partner: str, text: str, daemon) -> http.Answer:
            version = 24 if daemon.member == "entry-a" else 23
            rows = [{"partner": partner, "version": version, "weight": 1.0}]
            if text == "show config":
                rows = [{"name": daemon.member, "applied": log.end}]
            return http.Answer(200, [], json.dumps({"rows": rows}).encode())

        async def scenario() -> list[history.Observation]:
            names = ("entry-a", "entry-b")
            members = [types.SimpleNamespace(member=name) for name in names]
            return await readings.read_finals(
                readings.ConfigReader(ask), log, {"serrana": members}
            )

        recorded = history.History()
        recorded.observations = trio.run(scenario)
        self.assertIn(
            "serrana ended in 2 ways", history.find_breaches(recorded)
        )
