"""Evidence on engines' speeds survives gossip and can be summed."""

from __future__ import annotations

import testtools

from martenquay_daemon.engines import speeds
from martenquay_daemon.fleet import messages, speed_entries, zone_aggregator
from tests import serving_builders as builders

_SLOW = speeds.SpeedSums(12.0, 20.0)


class SpeedEntriesTest(testtools.TestCase):
    def test_results_and_ratio_survive_a_message(self) -> None:
        digest = builders.build_digest(
            speeds=speed_entries.encode_speeds({"r-0": _SLOW})
        )
        message = messages.DigestMessage(digest)
        raw = messages.encode_message(message)
        self.assertEqual(message, messages.decode_message(raw))
        found = speed_entries.decode_speeds(digest.speeds)["r-0"]
        self.assertAlmostEqual(12.0, found.results)
        self.assertAlmostEqual(0.6, found.find_ratio())

    def test_a_message_has_at_most_64_engines(self) -> None:
        # A daemon may send 5 KB/s for all of its control.
        sums = {f"r-{n}": speeds.SpeedSums(1.0 + n, 9.0) for n in range(90)}
        entries = speed_entries.encode_speeds(sums)
        self.assertEqual({f"r-{n}" for n in range(26, 90)}, set(entries))

    def test_impossible_entries_are_dropped(self) -> None:
        entries = {
            "r-0": speed_entries.SpeedEntry(10, 0),
            "r-1": speed_entries.SpeedEntry(-1, 900),
        }
        self.assertEqual({}, speed_entries.decode_speeds(entries))

    def test_a_receiver_gets_the_evidence_of_all_others(self) -> None:
        # Its own would otherwise count twice.
        aggregator = zone_aggregator.ZoneAggregator()
        entries = speed_entries.encode_speeds({"r-0": _SLOW})
        for number in (1, 2):
            digest = builders.build_digest(
                member=f"entry-{number}.aa",
                instance=f"entry-{number}",
                speeds=entries,
            )
            aggregator.apply_digest(digest, 0.0)
        total = aggregator.sum_digests(0.1, 1.0)
        self.assertAlmostEqual(24.0, total.speeds["r-0"].results)
        rest = aggregator.exclude_member(total, "entry-1.aa", 0.1, 1.0)
        self.assertAlmostEqual(12.0, rest.speeds["r-0"].results)
        self.assertAlmostEqual(0.6, rest.speeds["r-0"].find_ratio(), places=2)
