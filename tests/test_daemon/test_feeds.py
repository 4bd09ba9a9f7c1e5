"""Each daemon watches a bounded part of the runners, and not all the same."""

from __future__ import annotations

import testtools

from martenquay_daemon.routing import feeds


class WatchedTest(testtools.TestCase):
    def test_few_runners_are_all_watched(self):
        self.assertEqual({"a", "b"}, feeds.choose_watched("d-1", ["a", "b"]))

    def test_many_daemons_together_watch_every_runner(self):
        runners = [f"runner-{number}" for number in range(200)]
        chosen = [
            feeds.choose_watched(f"daemon-{number}", runners)
            for number in range(100)
        ]
        self.assertEqual({feeds.MAX_WATCHED}, {len(part) for part in chosen})
        self.assertEqual(set(runners), set().union(*chosen))
