"""Of several answers or bodies for one ticket, the first in the log counts."""

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
        requests = table.WorkTable()
        for offset, raw in enumerate(
            [_accept(1), _complete(50), _complete(60)], 1
        ):
            requests.apply(offset, raw)
        self.assertEqual(
            offset_index.RecordRange(50, 1), requests.find_answer("team.1")
        )
        self.assertEqual([], requests.list_open())

    def test_a_request_sent_again_keeps_its_first_body(self):
        requests = table.WorkTable()
        requests.apply(1, _accept(10))
        requests.apply(2, _accept(20))
        self.assertEqual(
            offset_index.RecordRange(10, 1), requests.list_open()[0].body
        )
        requests.apply(3, _accept(30, is_carried=True))
        self.assertEqual(
            offset_index.RecordRange(30, 1), requests.list_open()[0].body
        )

    def test_an_answered_request_sent_again_stays_answered(self):
        requests = table.WorkTable()
        for offset, raw in enumerate(
            [_accept(1), _complete(50), _accept(70)], 1
        ):
            requests.apply(offset, raw)
        self.assertEqual([], requests.list_open())

    def test_an_unanswered_request_outlives_the_retention_of_the_log(self):
        requests = table.WorkTable()
        requests.apply(1, _accept(10))
        requests.forget_before(1000)
        self.assertEqual(1, len(requests.list_open()))
