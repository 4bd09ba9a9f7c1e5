"""Messages of daemons hold numbers of any size."""

from __future__ import annotations

import math

import msgspec
import testtools

from martenquay_daemon.fleet import messages
from tests import serving_builders as builders


class MessagesTest(testtools.TestCase):
    def test_huge_integers_are_limited_and_the_rest_is_kept(self) -> None:
        digest = builders.build_digest(
            loads={"runner-1": messages.LoadEntry(2, 10**30)},
            reading={"model": messages.PrefillEntry(1, -(10**30), 5)},
            begun={10**25: {"acme": 3}},
            is_leaving=True,
        )
        raw = messages.encode_message(messages.DigestMessage(digest))
        found = messages.decode_message(raw).digest
        self.assertEqual(
            messages.LoadEntry(2, 2**63 - 1), found.loads["runner-1"]
        )
        self.assertEqual(
            messages.PrefillEntry(1, 1 - 2**63, 5), found.reading["model"]
        )
        self.assertEqual({2**63 - 1: {"acme": 3}}, found.begun)
        self.assertIs(True, found.is_leaving)
        self.assertEqual(digest.member, found.member)

    def test_bytes_are_kept_beside_a_huge_integer(self) -> None:
        reply = messages.StateReply(b"\x00\xff", 10**30, [], ["r"], [], 0, 0, 1)
        raw = messages.encode_message(reply)
        self.assertEqual(b"\x00\xff", messages.decode_message(raw).catalog)

    def test_a_message_with_a_number_that_is_not_finite_is_rejected(
        self,
    ) -> None:
        for number in (math.nan, math.inf, -math.inf):
            limit = messages.LimitEntry(number, 1, 0, 0)
            order = messages.RolloutOrderEntry("desk", "v2", number, 5)
            tally = messages.TallyEntry(5, 1, 2, number, 1.0)
            trial = messages.TrialEntry(5, {"lookup": (tally, tally)})
            reports = messages.RunnerReports({"runner-1": limit}, {})
            for changes in (
                {"demand": {"desk": number}},
                {"capacity": number},
                {"orders": [order]},
                {"trials": {"desk": trial}},
                {"runner_reports": reports},
            ):
                digest = builders.build_digest(**changes)
                self._check_rejected(messages.DigestMessage(digest))
            lots = {"acme": [messages.LotEntry(number, 1000)]}
            transfer = messages.TransferEntry(1, lots)
            self._check_rejected(
                messages.QuotaUpdate("m", "a", 1, {}, {"m": transfer})
            )

    def test_a_negative_count_of_a_trial_is_rejected(self) -> None:
        tally = messages.TallyEntry(5, -3, 2, 0.0, 1.0)
        trial = messages.TrialEntry(5, {"lookup": (tally, tally)})
        digest = builders.build_digest(trials={"desk": trial})
        self._check_rejected(messages.DigestMessage(digest))

    def _check_rejected(self, message: messages.FleetMessage) -> None:
        raw = messages.encode_message(message)
        self.assertRaises(msgspec.MsgspecError, messages.decode_message, raw)
