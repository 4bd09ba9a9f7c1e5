"""Origins are encoded and decoded; malformed records are rejected."""

from __future__ import annotations

import testtools

from martenquay_daemon.origins import records
from tests import origin_builders as builders


class RecordTest(testtools.TestCase):
    def test_a_batch_is_decoded_as_it_was_encoded(self) -> None:
        batch = records.OriginBatch(
            {"model": 12, "other": 34},
            [
                builders.build_origin(1),
                builders.build_origin(2, software="v1.1"),
                builders.build_origin(3, service="other"),
            ],
        )
        decoded = records.decode_batch(records.encode_batch(batch))
        self.assertEqual(batch.mixed_until_ms, decoded.mixed_until_ms)
        self.assertEqual(set(batch.origins), set(decoded.origins))

    def test_a_malformed_record_is_rejected(self) -> None:
        for record in (b"", b"{}", b'[["model"]]', b"\xff"):
            self.assertRaises(ValueError, records.decode_batch, record)

    def test_a_time_that_no_clock_shows_is_rejected(self) -> None:
        for digits in (b"9" * 20, b"9" * 400, b"-" + b"9" * 400):
            batch = b'[["model",' + digits + b",{}]]"
            self.assertRaises(ValueError, records.decode_batch, batch)
            versions = b'{"v1":' + digits + b"}"
            self.assertRaises(ValueError, records.decode_versions, versions)
