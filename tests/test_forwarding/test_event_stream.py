"""Server-sent events are split alike for any chunk sizes."""

from __future__ import annotations

import time

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from martenquay_daemon.forwarding import event_stream

_EVENTS = [b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)]
_BOM = b"\xef\xbb\xbf"
_LINE_ENDS = (b"\n", b"\r\n", b"\r")
# The loop serves all other requests; a runner's bytes may hold it for some
# tens of milliseconds at most.
_MAX_HOLD_S = 0.05
_READ_BYTES = 65_536
# The slowness of a busy machine is no failure of the draw.
_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


def _split(
    whole: bytes, sizes: list[int]
) -> tuple[list[event_stream.Event], event_stream.EventSplitter]:
    splitter = event_stream.EventSplitter()
    found = []
    for size in [*sizes, len(whole)]:
        found += splitter.feed(whole[:size])
        whole = whole[size:]
    return found, splitter


def _build_event(number: int, line_end: bytes) -> bytes:
    lines = [b"id: %d" % number, b"data: x%d" % number, b"", b""]
    return line_end.join(lines)


class EventSplitterTest(testtools.TestCase):
    @_SETTINGS
    @given(st.lists(st.integers(1, 30), max_size=20))
    def test_any_cutting_gives_the_same_events(self, sizes: list[int]) -> None:
        found, splitter = _split(b"".join(_EVENTS), sizes)
        self.assertEqual(_EVENTS, [event.raw for event in found])
        self.assertEqual([1, 2, 3, 4, 5], [event.id for event in found])
        self.assertEqual(b"", splitter.rest)

    @_SETTINGS
    @given(
        st.lists(st.sampled_from(_LINE_ENDS), min_size=1, max_size=6),
        st.lists(st.integers(1, 9), max_size=40),
        st.booleans(),
    )
    def test_any_cutting_at_any_line_end_gives_the_runners_bytes(
        self, line_ends: list[bytes], sizes: list[int], has_bom: bool
    ) -> None:
        whole = (_BOM if has_bom else b"") + b"".join(
            _build_event(number, line_end)
            for number, line_end in enumerate(line_ends, start=1)
        )
        found, splitter = _split(whole, sizes)
        found += splitter.finish()
        ids = [event.id for event in found if event.id is not None]
        self.assertEqual(list(range(1, len(line_ends) + 1)), ids)
        raw = b"".join(event.raw for event in found)
        self.assertEqual(whole, raw + splitter.rest)
        self.assertFalse(splitter.is_inside_event)

    @_SETTINGS
    @given(
        st.lists(
            st.sampled_from([b"\r", b"\n", b"id: 7", b"data: x", b":"]),
            max_size=30,
        ),
        st.lists(st.integers(1, 9), max_size=40),
    )
    def test_any_cutting_of_any_lines_gives_the_same_events(
        self, pieces: list[bytes], sizes: list[int]
    ) -> None:
        whole = b"".join(pieces)
        expected, at_once = _split(whole, [])
        found, splitter = _split(whole, sizes)
        self.assertEqual(expected + at_once.finish(), found + splitter.finish())
        self.assertEqual(at_once.rest, splitter.rest)

    def test_an_end_of_an_event_may_be_split_between_two_reads(self) -> None:
        splitter = event_stream.EventSplitter()
        found = splitter.feed(b"id: 1\r\ndata: x\r\n\r")
        found += splitter.feed(b"\n")
        self.assertEqual([1], [event.id for event in found])

    def test_an_event_whose_lines_end_in_cr_alone_goes_on_at_once(
        self,
    ) -> None:
        found = event_stream.EventSplitter().feed(b"id: 1\rdata: x\r\r")
        self.assertEqual([1], [event.id for event in found])

    def test_a_byte_order_mark_hides_no_id(self) -> None:
        found = event_stream.EventSplitter().feed(_BOM + _EVENTS[0])
        self.assertEqual(
            [(_BOM + _EVENTS[0], 1)], [(e.raw, e.id) for e in found]
        )

    def test_a_stream_that_goes_on_drops_the_byte_order_mark(self) -> None:
        splitter = event_stream.EventSplitter(is_continued=True)
        found = splitter.feed(_BOM[:1])
        found += splitter.feed(_BOM[1:] + _EVENTS[0])
        self.assertEqual([_EVENTS[0]], [event.raw for event in found])

    def test_an_incomplete_event_is_kept_in_rest(self) -> None:
        splitter = event_stream.EventSplitter()
        events = splitter.feed(_EVENTS[0] + b"id: 2\nda")
        self.assertEqual(1, len(events))
        self.assertEqual(b"id: 2\nda", splitter.rest)
        self.assertTrue(splitter.is_inside_event)

    def test_an_event_without_a_numeric_id_has_none(self) -> None:
        events = event_stream.EventSplitter().feed(b"data: x\n\nid: a\n\n")
        self.assertEqual([None, None], [event.id for event in events])

    def test_an_id_of_thousands_of_digits_is_none(self) -> None:
        raw = b"id: " + b"9" * 5000 + b"\n\n"
        events = event_stream.EventSplitter().feed(raw)
        self.assertEqual([None], [event.id for event in events])


class EndlessEventTest(testtools.TestCase):
    def _feed_for_ever(self, piece: bytes, reads: int) -> None:
        """Feed the same piece until it is refused; bound time and memory."""
        splitter = event_stream.EventSplitter()
        try:
            for _ in range(reads):
                began_at = time.perf_counter()
                splitter.feed(piece)
                self.assertLess(time.perf_counter() - began_at, _MAX_HOLD_S)
        except event_stream.OversizedEventError:
            held = event_stream.MAX_EVENT_BYTES + len(piece)
            self.assertLessEqual(len(splitter.rest), held)
            return
        self.fail("an event without an end was accepted")

    def test_bytes_without_an_event_end_are_refused(self) -> None:
        self._feed_for_ever(b"x" * _READ_BYTES, 200)

    def test_lines_without_a_blank_line_are_refused(self) -> None:
        self._feed_for_ever(b"data: x\n" * (_READ_BYTES // 8), 200)

    def test_blank_lines_without_an_event_are_refused(self) -> None:
        self._feed_for_ever(b"\n" * _READ_BYTES, 200)
        self._feed_for_ever(b"\r\n" * (_READ_BYTES // 2), 200)

    def test_single_bytes_take_linear_time(self) -> None:
        splitter = event_stream.EventSplitter()
        began_at = time.perf_counter()
        for _ in range(200_000):
            splitter.feed(b"x")
        # To copy or search what is there at each read takes over ten times
        # as long.
        self.assertLess(time.perf_counter() - began_at, 2.0)

    def test_the_events_before_an_endless_one_are_returned(self) -> None:
        splitter = event_stream.EventSplitter()
        oversized = b"x" * (event_stream.MAX_EVENT_BYTES + 1)
        found = splitter.feed(_EVENTS[0] + oversized)
        self.assertEqual([1], [event.id for event in found])
        self.assertRaises(
            event_stream.OversizedEventError, splitter.feed, b"\n\n"
        )
