"""What an answer says of ages is counted from the message it answers."""

from __future__ import annotations

import trio

from martenquay_daemon.fleet import send_times
from tests import clocked


class SendTimesTest(clocked.ClockedTestCase):
    def test_a_message_that_is_not_long_ago_has_a_time(self) -> None:
        async def scenario() -> None:
            sent = send_times.SendTimes()
            started = trio.current_time()
            sent.note(1)
            await trio.sleep(0.5)
            sent.note(2)
            self.assertEqual(started, sent.find(1))
            self.assertEqual(started + 0.5, sent.find(2))
            self.assertIsNone(sent.find(3))

        self.run_clocked(scenario)

    def test_old_messages_are_forgotten(self) -> None:
        async def scenario() -> None:
            sent = send_times.SendTimes()
            for number in range(200):
                sent.note(number)
            self.assertIsNone(sent.find(0))
            self.assertIsNotNone(sent.find(199))

        self.run_clocked(scenario)
