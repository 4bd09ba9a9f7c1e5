"""No stream joins two versions beside releases, kills, suspensions and cuts.

Guards against daemons that take a service for unmixed because they have not
heard of its other version: as all daemons were down, or as they stood still.
"""

from __future__ import annotations

import testtools

from tests import origin_days

_SEEDS = (0, 3, 4, 9)


class OriginDaysTest(testtools.TestCase):
    def test_resumed_streams_go_on_at_their_version_alone(self) -> None:
        for seed in _SEEDS:
            day = origin_days.play_day(seed)
            self.assertEqual(([], []), (day.joined, day.lost), f"seed {seed}")
            # The day has resumed streams, and most go on.
            self.assertGreater(day.went_on, 100)
