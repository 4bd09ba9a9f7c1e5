"""Retries stay within a share of the requests, over all daemons."""

from __future__ import annotations

import testtools
import trio
import trio.testing

from martenquay_daemon.forwarding import retry_window

_BOUNDS = retry_window.RetryBounds(ratio=0.2, window_s=10.0, slack=40.0)
_DAEMONS = 8
# Ends the loop if the window allows retries without bound.
_MAX_RETRIES = 1000


class RetryWindowTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, clock=clock)

    def _take_all(self, window: retry_window.RetryWindow) -> int:
        count = 0
        while count < _MAX_RETRIES and window.try_spend("desk"):
            count += 1
        return count

    def test_all_daemons_together_stay_inside_the_slack(self) -> None:
        async def scenario() -> None:
            window = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            spent = self._take_all(window)
            self.assertGreater(spent, 0)
            self.assertLessEqual(spent * _DAEMONS, _BOUNDS.slack)

        self._run(scenario)

    def test_asking_for_room_spends_nothing(self) -> None:
        async def scenario() -> None:
            asked = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            for _ in range(_MAX_RETRIES):
                self.assertTrue(asked.has_retry_left("desk"))
            other = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            self.assertEqual(self._take_all(other), self._take_all(asked))
            self.assertFalse(asked.has_retry_left("desk"))

        self._run(scenario)

    def test_requests_allow_repeats_in_proportion(self) -> None:
        async def scenario() -> None:
            window = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            few = self._take_all(window)
            for _ in range(100):
                window.count_request("desk")
            more = self._take_all(window)
            self.assertGreater(more, few)
            allowed = _BOUNDS.ratio * 100 + _BOUNDS.slack / _DAEMONS
            self.assertLessEqual(few + more, allowed)

        self._run(scenario)

    def test_the_window_slides(self) -> None:
        async def scenario() -> None:
            window = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            spent = self._take_all(window)
            await trio.sleep(_BOUNDS.window_s / 2)
            self.assertEqual(0, self._take_all(window))
            await trio.sleep(_BOUNDS.window_s / 2 + 0.1)
            self.assertEqual(spent, self._take_all(window))

        self._run(scenario)

    def test_one_service_does_not_spend_for_another(self) -> None:
        async def scenario() -> None:
            window = retry_window.RetryWindow(_BOUNDS, lambda: _DAEMONS)
            self._take_all(window)
            self.assertTrue(window.try_spend("model"))

        self._run(scenario)
