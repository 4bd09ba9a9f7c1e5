"""Messages of daemons hold numbers of any size."""

from __future__ import annotations

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
