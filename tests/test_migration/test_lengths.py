"""The end of a stream is estimated from earlier ones and its own pace."""

from __future__ import annotations

import math

import testtools

from martenquay_daemon.migration import lengths


def _build_progress(**changes) -> lengths.StreamProgress:
    fields = {
        "tokens_out": 400,
        "events": 10,
        "events_here": 10,
        "elapsed_s": 0.9,
    }
    return lengths.StreamProgress(**(fields | changes))


class StreamLengthsTest(testtools.TestCase):
    def build_learnt(self, streams: int = 5) -> lengths.StreamLengths:
        """Return estimates from streams of 40 events in 4 s."""
        learnt = lengths.StreamLengths()
        for _ in range(streams):
            learnt.note("model", 400, 40, 4.0)
        return learnt

    def test_nothing_is_known_from_a_few_streams(self) -> None:
        learnt = self.build_learnt(4)
        self.assertIsNone(learnt.find_events("model", 400))
        remaining_s = learnt.find_remaining_s("model", _build_progress())
        self.assertEqual(math.inf, remaining_s)

    def test_nothing_is_known_without_a_token_limit(self) -> None:
        learnt = self.build_learnt()
        progress = _build_progress(tokens_out=None)
        self.assertEqual(math.inf, learnt.find_remaining_s("model", progress))

    def test_events_grow_with_the_token_limit(self) -> None:
        self.assertEqual(20.0, self.build_learnt().find_events("model", 200))

    def test_the_remaining_events_come_at_the_streams_own_pace(self) -> None:
        # Engines of one service differ in speed by a factor of up to 2.7.
        learnt = self.build_learnt()
        fast_s = learnt.find_remaining_s("model", _build_progress())
        self.assertAlmostEqual(3.0, fast_s)
        slow = _build_progress(elapsed_s=2.7)
        self.assertAlmostEqual(9.0, learnt.find_remaining_s("model", slow))

    def test_a_stream_that_has_just_begun_has_the_services_pace(self) -> None:
        begun = _build_progress(events=1, events_here=1, elapsed_s=0.5)
        remaining_s = self.build_learnt().find_remaining_s("model", begun)
        self.assertAlmostEqual(3.9, remaining_s)

    def test_a_stream_longer_than_expected_has_one_event_left(self) -> None:
        longer = _build_progress(events=50, events_here=50, elapsed_s=4.9)
        remaining_s = self.build_learnt().find_remaining_s("model", longer)
        self.assertAlmostEqual(0.1, remaining_s)
