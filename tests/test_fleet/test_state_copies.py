"""Runner entries from a peer get the age that they had at the peer."""

from __future__ import annotations

import trio

from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import messages, state_copies
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders


def _build_state() -> state_copies.FleetState:
    records = builders.FakeRecords()
    log_contact = contact.LogContact()
    directory = runner_directory.RunnerDirectory(records, log_contact)
    follower = keyed_follower.KeyedFollower(
        log.MemoryLog(),
        log_contact,
        "runners",
        directory,
        keyed_follower.ReadSchedule(wait_s=1.0),
    )
    return state_copies.FleetState(
        catalog_store.create_store(records), directory, follower, log_contact
    )


class StateCopiesTest(clocked.ClockedTestCase):
    def test_age_counts_from_the_request_that_the_reply_answers(self) -> None:
        async def scenario() -> None:
            own, other = _build_state(), _build_state()
            requester = state_copies.StateTransfer(own)
            peer = state_copies.StateTransfer(other)
            now = trio.current_time()
            other.runner_follower.skip_to(5)
            other.runner_follower.copy_age.confirmed_at = now - 0.3
            first_reply = peer.create_reply(requester.create_request(), [])
            await trio.sleep(2.0)
            requester.create_request()
            # The first reply is late; its age must not count from the last
            # request.
            requester.apply_reply(first_reply)
            age_s = own.runner_follower.copy_age.age_s
            self.assertAlmostEqual(2.3, age_s)

        self.run_clocked(scenario)

    def test_a_reply_to_no_request_makes_no_copy_newer(
        self,
    ) -> None:
        async def scenario() -> None:
            own = _build_state()
            requester = state_copies.StateTransfer(own)
            requester.apply_reply(
                messages.StateReply(b"", 5, [], [], [], 10, 0, 44)
            )
            self.assertIsNone(own.runner_follower.copy_age.note_use())

        self.run_clocked(scenario)
