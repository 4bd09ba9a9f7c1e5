"""Guard against rates that are wrong while their windows are young."""

from __future__ import annotations

import trio

from martenquay_daemon.engines import demand
from tests import clocked


class DemandMeterTest(clocked.ClockedTestCase):
    async def _send(
        self, meter: demand.DemandMeter, seconds: float, tokens_per_s: int
    ) -> None:
        for _ in range(round(seconds * 10)):
            meter.note("model", tokens_per_s // 10)
            await trio.sleep(0.1)

    def test_a_steady_rate_is_right_from_the_shortest_window_on(self) -> None:
        """The mean starts at 0 and would take 18 s to reach nine tenths."""

        async def scenario() -> None:
            meter = demand.DemandMeter()
            for _ in range(12):
                await self._send(meter, 1.0, 100_000)
                rate = meter.list_rates()["model"]
                self.assertLess(abs(rate / 100_000 - 1), 0.05)

        self.run_clocked(scenario)

    def test_a_clump_counts_over_the_shortest_window(self) -> None:
        """The first request would otherwise count as an endless rate."""

        async def scenario() -> None:
            meter = demand.DemandMeter()
            for _ in range(3):
                meter.note("model", 12_000)
            self.assertLess(meter.list_rates()["model"], 40_000)
            await trio.sleep(4.0)
            self.assertLess(meter.list_rates()["model"], 10_000)

        self.run_clocked(scenario)

    def test_one_of_many_daemons_counts_from_the_first_demand_of_the_fleet(
        self,
    ) -> None:
        """Otherwise a sum over 90 daemons would be several times too high."""

        async def scenario() -> None:
            meter = demand.DemandMeter()
            meter.note_fleet_demand(["model"])
            self.assertEqual({}, meter.list_rates())
            await trio.sleep(7.9)
            meter.note("model", 8_000)
            await trio.sleep(0.1)
            # 8,000 tokens in 8 s; alone, they would count as 8,500 a second.
            self.assertLess(meter.list_rates()["model"], 1_600)

        self.run_clocked(scenario)

    def test_the_lag_grows_from_half_a_young_window_to_the_decay_time(
        self,
    ) -> None:
        """A forecast over the full decay time would overshoot at the start."""

        async def scenario() -> None:
            meter = demand.DemandMeter()
            self.assertEqual(0.0, meter.find_lag_s("model"))
            meter.note("model", 1)
            await trio.sleep(1.0)
            self.assertAlmostEqual(0.49, meter.find_lag_s("model"), 2)
            await trio.sleep(60.0)
            self.assertAlmostEqual(
                demand.DECAY_TIME_S, meter.find_lag_s("model"), 1
            )

        self.run_clocked(scenario)

    def test_a_young_rate_is_not_taken_for_a_rise(self) -> None:
        async def scenario() -> None:
            meter = demand.DemandMeter()
            self.assertFalse(meter.is_settled("model"))
            await self._send(meter, 1.9, 1_000)
            self.assertFalse(meter.is_settled("model"))
            await self._send(meter, 0.2, 1_000)
            self.assertTrue(meter.is_settled("model"))

        self.run_clocked(scenario)

    def test_a_window_of_a_day_has_a_lag(self) -> None:
        """A growing exponential overflowed after 95 minutes."""

        async def scenario() -> None:
            meter = demand.DemandMeter()
            meter.note("model", 1000)
            await trio.sleep(86_400.0)
            lag_s = meter.find_lag_s("model")
            self.assertAlmostEqual(demand.DECAY_TIME_S, lag_s)

        self.run_clocked(scenario)
