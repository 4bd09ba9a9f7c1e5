"""Tests of the send times of numbered messages."""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import send_times
from tests import clocked


class SendTimesTest(clocked.ClockedTestCase):
    def test_the_send_time_of_a_recent_message_is_found(self) -> None:
        async def scenario() -> None:
            times = send_times.SendTimes()
            started = trio.current_time()
            times.note(1)
            await trio.sleep(0.5)
            times.note(2)
            self.assertEqual(started, times.find(1))
            self.assertEqual(started + 0.5, times.find(2))
            self.assertIsNone(times.find(3))

        self.run_clocked(scenario)

    def test_old_messages_are_dropped(self) -> None:
        async def scenario() -> None:
            times = send_times.SendTimes()
            for number in range(200):
                times.note(number)
            self.assertIsNone(times.find(0))
            self.assertIsNotNone(times.find(199))

        self.run_clocked(scenario)
