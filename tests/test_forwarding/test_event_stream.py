"""Server-sent events are split alike for any chunk sizes."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from martenquay_daemon.forwarding import event_stream

_EVENTS = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)]


class EventSplitterTest(testtools.TestCase):
    @given(st.lists(st.integers(1, 30), max_size=20))
    def test_any_cutting_gives_the_same_events(self, sizes: list[int]) -> None:
        splitter = event_stream.EventSplitter()
        rest = b"".join(_EVENTS)
        found = []
        for size in [*sizes, len(rest)]:
            found += splitter.feed(rest[:size])
            rest = rest[size:]
        self.assertEqual(_EVENTS, [event.raw for event in found])
        self.assertEqual([1, 2, 3, 4, 5], [event.id for event in found])
        self.assertEqual(b"", splitter.rest)

    def test_an_incomplete_event_is_kept_in_rest(self) -> None:
        splitter = event_stream.EventSplitter()
        events = splitter.feed(_EVENTS[0] + b"id: 2\nda")
        self.assertEqual(1, len(events))
        self.assertEqual(b"id: 2\nda", splitter.rest)

    def test_an_event_without_a_numeric_id_has_none(self) -> None:
        events = event_stream.EventSplitter().feed(b"data: x\n\nid: a\n\n")
        self.assertEqual([None, None], [event.id for event in events])
