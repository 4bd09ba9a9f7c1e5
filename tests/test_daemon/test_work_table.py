"""The first answer in the log's order is the answer."""

from __future__ import annotations

import testtools

from martenquay_daemon.deferrable import records, table
from martenquay_daemon.journal import offset_index


def _accept(offset: int, *, is_carried: bool = False) -> bytes:
    return records.encode(
        records.Accepted(
            ticket="team.1",
            team="team",
            route="review",
            written_at=offset,
            config_offset=1,
            offset=offset,
            count=1,
            is_carried=is_carried,
        )
    )


def _complete(offset: int) -> bytes:
    return records.encode(
        records.Completed(ticket="team.1", offset=offset, count=1)
    )


class WorkTableTest(testtools.TestCase):
    def test_the_first_answer_counts(self):
        works = table.WorkTable()
        for offset, raw in enumerate(
            [_accept(1), _complete(50), _complete(60)], 1
        ):
            works.apply(offset, raw)
        self.assertEqual(
            offset_index.RecordRange(50, 1), works.find_answer("team.1")
        )
        self.assertEqual([], works.list_open())

    def test_a_request_sent_again_keeps_its_first_body(self):
        works = table.WorkTable()
        works.apply(1, _accept(10))
        works.apply(2, _accept(20))
        self.assertEqual(
            offset_index.RecordRange(10, 1), works.list_open()[0].body
        )
        works.apply(3, _accept(30, is_carried=True))
        self.assertEqual(
            offset_index.RecordRange(30, 1), works.list_open()[0].body
        )

    def test_an_answered_request_sent_again_stays_answered(self):
        works = table.WorkTable()
        for offset, raw in enumerate(
            [_accept(1), _complete(50), _accept(70)], 1
        ):
            works.apply(offset, raw)
        self.assertEqual([], works.list_open())

    def test_an_open_request_outlives_the_log(self):
        works = table.WorkTable()
        works.apply(1, _accept(10))
        works.forget_before(1000)
        self.assertEqual(1, len(works.list_open()))
