"""A graceful stop accepts only requests that finish before it ends."""

from __future__ import annotations

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.engines import durations
from martenquay_daemon.forwarding import disconnects, stop_window
from tests import clocked, serving_builders, serving_scene
from tests import forwarder_case as case

_GRACE_S = 7.6
# A stream of 240 tokens whose first event comes after 0.4 s.
_TOKENS = 240
_FIRST_EVENT_S = 0.4
_GENERATION_S = 3.0
_STREAM = catalog.CallKind.STREAM


class StopWindowTest(clocked.ClockedTestCase):
    def _find_overrun(
        self,
        after_s: float,
        *,
        tokens: int | None = _TOKENS,
        kind: catalog.CallKind = catalog.CallKind.STREAM,
        budget_s: float = 15.0,
        samples: int = 20,
    ) -> float:
        """Return the overrun of a request that comes `after_s` into a stop."""
        overruns = []

        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(samples):
                streams.note("model", _FIRST_EVENT_S, _TOKENS, _GENERATION_S)
            window = stop_window.StopWindow(streams)
            end = trio.current_time() + _GRACE_S
            window.begin(lambda: end)
            await trio.sleep(after_s)
            request = stop_window.NewRequest("model", kind, tokens, budget_s)
            overruns.append(window.find_overrun(request))

        self.run_clocked(scenario)
        return overruns[0]

    def test_a_short_stream_is_accepted_and_a_long_one_is_not(self) -> None:
        self.assertEqual(0.0, self._find_overrun(3.4, tokens=15))
        self.assertGreater(self._find_overrun(3.4, tokens=240), 0.0)

    def test_a_long_stream_is_accepted_only_while_there_is_time(self) -> None:
        self.assertEqual(0.0, self._find_overrun(0.1, tokens=100))
        self.assertGreater(self._find_overrun(5.3, tokens=100), 0.0)

    def test_a_request_whose_deadline_is_before_the_end_is_accepted(
        self,
    ) -> None:
        self.assertEqual(0.0, self._find_overrun(3.4, budget_s=4.0))

    def test_the_answer_at_the_deadline_needs_time_before_the_end(
        self,
    ) -> None:
        kind = catalog.CallKind.NON_IDEMPOTENT
        for budget_s, is_accepted in [(4.05, True), (4.15, False)]:
            overrun_s = self._find_overrun(
                3.4, budget_s=budget_s, kind=kind, tokens=None
            )
            self.assertEqual(is_accepted, overrun_s == 0.0, budget_s)

    def test_without_known_lengths_the_deadline_counts(self) -> None:
        self.assertGreater(self._find_overrun(0.0, samples=1), 0.0)
        self.assertEqual(0.0, self._find_overrun(0.0, samples=1, budget_s=5.0))

    def test_a_plain_call_is_accepted_by_its_deadline(self) -> None:
        kind_of_call = catalog.CallKind.NON_IDEMPOTENT
        for after_s, budget_s, is_accepted in [
            (3.4, 1.0, True),
            (7.0, 1.0, False),
        ]:
            overrun_s = self._find_overrun(
                after_s, kind=kind_of_call, tokens=None, budget_s=budget_s
            )
            self.assertEqual(is_accepted, overrun_s == 0.0)

    def test_a_few_short_streams_tell_nothing_about_a_long_one(self) -> None:
        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(6):
                streams.note("model", 0.05, 10, 0.05, 10)
            window = stop_window.StopWindow(streams)
            end = trio.current_time() + _GRACE_S
            window.begin(lambda: end)
            long = stop_window.NewRequest("model", _STREAM, 240, 15.0)
            self.assertGreater(window.find_overrun(long), 0.0)
            short = stop_window.NewRequest("model", _STREAM, 10, 15.0)
            self.assertEqual(0.0, window.find_overrun(short))

        self.run_clocked(scenario)

    def test_the_slowest_recent_stream_counts_beside_the_mean(self) -> None:
        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(40):
                streams.note("model", 0.1, 100, 1.0, 100)
            streams.note("model", 0.1, 100, 9.0, 100)
            window = stop_window.StopWindow(streams)
            end = trio.current_time() + _GRACE_S
            window.begin(lambda: end)
            request = stop_window.NewRequest("model", _STREAM, 100, 15.0)
            self.assertGreater(window.find_overrun(request), 0.0)

        self.run_clocked(scenario)

    def test_a_stream_in_progress_that_is_slower_than_learnt_counts(
        self,
    ) -> None:
        for interval_s, is_accepted in [(0.01, True), (0.05, False)]:
            overrun_s = self._find_overrun_beside(interval_s)
            self.assertEqual(is_accepted, overrun_s == 0.0, overrun_s)

    def _find_overrun_beside(self, interval_s: float) -> float:
        """Return the overrun beside a stream with an event each interval."""
        overruns = []

        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(20):
                streams.note("model", 0.1, 100, 1.0, 100)
            window = stop_window.StopWindow(streams)
            beside = serving_builders.build_exchange(
                service="model",
                stage=disconnects.Stage.STREAMING,
                sent_at=trio.current_time(),
                first_event_s=0.1,
                attempt_events=20,
            )
            with window.track(beside):
                await trio.sleep(0.1 + 20 * interval_s)
                end = trio.current_time() + _GRACE_S
                window.begin(lambda: end)
                request = stop_window.NewRequest("model", _STREAM, 100, 15.0)
                overruns.append(window.find_overrun(request))

        self.run_clocked(scenario)
        return overruns[0]

    def test_a_queue_or_a_slow_engine_of_the_chosen_runner_counts(self) -> None:
        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(20):
                streams.note("model", 0.1, 100, 1.0, 100)
            window = stop_window.StopWindow(streams)
            end = trio.current_time() + _GRACE_S
            window.begin(lambda: end)
            for change, is_accepted in [
                ({}, True),
                ({"first_event_s": 6.0}, False),
                ({"speed": 0.3}, False),
            ]:
                request = stop_window.NewRequest(
                    "model", _STREAM, 100, 15.0, **change
                )
                overrun_s = window.find_overrun(request)
                self.assertEqual(is_accepted, overrun_s == 0.0, change)

        self.run_clocked(scenario)

    def test_after_the_notice_only_a_deadline_within_the_stop_counts(
        self,
    ) -> None:
        async def scenario() -> None:
            streams = durations.StreamDurations()
            for _ in range(20):
                streams.note("model", 0.1, 100, 0.1, 100)
            window = stop_window.StopWindow(streams)
            end = trio.current_time() + _GRACE_S
            window.begin(lambda: end)
            await trio.sleep(2.6)
            window.end_notice()
            request = stop_window.NewRequest("model", _STREAM, 10, 15.0)
            self.assertGreater(window.find_overrun(request), 0.0)
            request = stop_window.NewRequest("model", _STREAM, 10, 4.0)
            self.assertEqual(0.0, window.find_overrun(request))

        self.run_clocked(scenario)

    def test_without_a_stop_everything_is_accepted(self) -> None:
        window = stop_window.StopWindow(durations.StreamDurations())
        stream = catalog.CallKind.STREAM
        request = stop_window.NewRequest("model", stream, None, 1e6)
        self.assertEqual(0.0, window.find_overrun(request))


class StopAnswerTest(case.ForwarderTestCase):
    def test_a_request_that_would_be_truncated_is_rejected_at_once(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.stop.begin(lambda: trio.current_time() + 1.0)
            reply = await scene.ask(case.CALL % (b"GET /lookup/7", 5000))
            self.assertEqual(503, reply.status)
            self.assertEqual(b"0.000", reply.headers[b"retry-after"])
            self.assertEqual([], scene.runners[0].requests)
            reply = await scene.ask(case.CALL % (b"GET /lookup/7", 500))
            self.assertEqual(200, reply.status)

        self.run_scene(scenario, [case.GOOD])


class StreamLengthsTest(case.ForwarderTestCase):
    def test_lengths_follow_the_tokens_asked_for(self) -> None:
        streams = durations.StreamDurations()
        for _ in range(10):
            streams.note("model", 0.2, 20, 0.2)
            streams.note("model", 0.4, 200, 2.0)
        self.assertAlmostEqual(1.3, streams.find_mean_s("model", 100), 6)

    def test_newer_streams_outweigh_older_ones(self) -> None:
        streams = durations.StreamDurations()
        for _ in range(1000):
            streams.note("model", 0.1, 100, 0.5)
        for _ in range(200):
            streams.note("model", 0.2, 100, 5.0)
        self.assertGreater(streams.find_mean_s("model", 100), 4.5)

    def test_a_few_streams_give_no_mean(self) -> None:
        streams = durations.StreamDurations()
        streams.note("model", 0.1, 100, 0.5)
        self.assertIsNone(streams.find_mean_s("model", 100))
        self.assertIsNone(streams.find_mean_s("other", 100))
