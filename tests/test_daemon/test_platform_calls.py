"""Guard against calls to the platform that nobody counts or needs."""

from __future__ import annotations

import collections

import testtools
import trio

from martenquay_core.serving import ports as port_types
from martenquay_daemon import platform_calls
from martenquay_standins.ports import cloud, log
from tests import call_fleet, clocked
from tests import serving_builders as builders


class CountedCallsTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def _count(self, kind: str, topic: str, outcome: str) -> None:
        self.counts[kind, topic, outcome] += 1

    def test_calls_to_the_log_are_counted_by_kind_topic_and_outcome(
        self,
    ) -> None:
        async def scenario() -> None:
            inner = log.MemoryLog()
            counted = platform_calls.CountedLog(inner, self._count)
            payload = counted.join_keyed("key", b"value")
            await counted.append("members", [payload])
            await counted.append("lease", [b"x"], expected_end=5)
            await counted.read("members", 0)
            await counted.read("members", 1)
            await counted.read_newest("members")
            inner.faults.is_down = True
            await counted.read("members", 0)
            self.assertEqual(
                {
                    ("append", "members", "ok"): 1,
                    ("append", "lease", "refused"): 1,
                    ("read", "members", "ok"): 1,
                    ("read", "members", "empty"): 1,
                    ("read_newest", "members", "ok"): 1,
                    ("read", "members", "failed"): 1,
                },
                dict(self.counts),
            )

        self.run_clocked(scenario)

    def test_calls_to_the_cloud_are_counted_by_kind_and_outcome(self) -> None:
        async def scenario() -> None:
            inner = cloud.MemoryCloud()
            counted = platform_calls.CountedCloud(inner, self._count)
            await counted.order_runners(builders.build_order(), "entry-1", 1)
            inner.has_reclaimable = False
            await counted.order_runners(builders.build_order(), "entry-1", 1)
            inner.is_lossy = True
            report = port_types.UsageReport(1, {})
            await counted.report_usage(report, "entry-1", 1)
            self.assertEqual(
                {
                    ("order_runners", "", "ok"): 1,
                    ("order_runners", "", "refused"): 1,
                    ("report_usage", "", "failed"): 1,
                },
                dict(self.counts),
            )

        self.run_clocked(scenario)


class FleetCallsTest(testtools.TestCase):
    def _list_readers(
        self, fleet: call_fleet.CallFleet, name: str, before: dict[str, int]
    ) -> list[str]:
        """Return the daemons that have made a kind of call repeatedly."""
        after = fleet.count_by_daemon(name)
        # A long poll that began earlier may end.
        return [one for one in after if after[one] - before[one] > 1]

    def test_in_a_large_fleet_one_hub_of_each_zone_follows_the_log(
        self,
    ) -> None:
        """Second hubs read the runners, and all daemons the crash records."""

        async def run() -> None:
            async with call_fleet.open_fleet(18, "abcd") as fleet:
                await trio.sleep(6.0)
                # Ends the long polls from before the hubs relayed records.
                fleet.put_crash(0)
                await trio.sleep(1.0)
                runner_reads = fleet.count_by_daemon("read runners")
                crash_reads = fleet.count_by_daemon("read strikes")
                for number in range(1, 6):
                    fleet.put_crash(number)
                    await trio.sleep(0.7)
                    self.assertEqual(18, fleet.count_crash_known(number))
                runner_readers = self._list_readers(
                    fleet, "read runners", runner_reads
                )
                # One in each zone, and the lease holder.
                self.assertIn(len(runner_readers), {4, 5})
                crash_readers = self._list_readers(
                    fleet, "read strikes", crash_reads
                )
                self.assertEqual(4, len(crash_readers))

        trio.run(run)
