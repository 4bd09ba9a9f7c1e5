"""Streams stay at one software version while two serve side by side."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import soak

_LIMIT_S = 180.0
_TWO_VERSIONS = soak.SoakPlan(
    61, faults=4, kills=14, daemons=6, runners=6, callers=6, versions=2
)


class VersionTest(testtools.TestCase):
    def test_no_stream_holds_events_of_two_versions(self) -> None:
        report = trio.run(self._run, _TWO_VERSIONS)
        self.assertEqual([], report.breaches)
        resumed = [
            call for call in report.history.calls.values() if call.resumed_id
        ]
        self.assertNotEqual([], [c for c in resumed if c.status == 200])

    async def _run(self, plan: soak.SoakPlan) -> soak.SoakReport:
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
