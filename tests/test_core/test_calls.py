"""Ids that callers choose take little room where they are kept."""

from __future__ import annotations

import testtools

from martenquay_core.serving import calls
from tests import serving_builders as builders

_LONG = "x" * 16_000


class ShortenIdTest(testtools.TestCase):
    def test_a_stream_is_remembered_by_a_short_id(self) -> None:
        for fields in ({"id": _LONG}, {"id": "b", "resumed_id": _LONG}):
            current = builders.build_exchange(
                call=builders.build_call(**fields)
            )
            self.assertLess(len(current.stream_request), 200)

    def test_long_ids_that_differ_stay_different(self) -> None:
        first, second = calls.shorten_id(_LONG), calls.shorten_id(_LONG + "y")
        self.assertNotEqual(first, second)
        self.assertEqual(first, calls.shorten_id(_LONG))

    def test_usual_ids_are_kept(self) -> None:
        for text in ("", "9c41d07be2a35f68", "x" * 128):
            self.assertEqual(text, calls.shorten_id(text))
