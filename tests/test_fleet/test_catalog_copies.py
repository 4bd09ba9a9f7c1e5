"""A large configuration goes to a zone's daemons in a fraction of its bytes.

A hub hands the operators' configuration to all daemons of its zone. With 1,400
routes more it had 300 kB for each of some 39: 9 s of a link of 10 Mbit/s, in
which what callers' allowances were asked for at that hub was answered late.
"""

from __future__ import annotations

import json

import testtools
import trio

from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import messages, state_copies
from martenquay_platform import records
from martenquay_platform_standins import configuration
from martenquay_standins.ports import log

_ROUTES = 1400
_DAEMONS = 39
# Of the slowest links that daemons have, in bytes.
_LINK_BYTES_PER_S = 10e6 / 8
# Callers of plain calls and short prompts still get their answers in time.
_MOST_S = 1.0


def _build_state() -> state_copies.FleetState:
    codec = records.create_codec()
    log_contact = contact.LogContact()
    directory = runner_directory.RunnerDirectory(codec, log_contact)
    follower = keyed_follower.KeyedFollower(
        log.MemoryLog(),
        log_contact,
        "runners",
        directory,
        keyed_follower.ReadSchedule(wait_s=1.0),
    )
    return state_copies.FleetState(
        catalog_store.create_store(codec), directory, follower, log_contact
    )


def _build_record() -> bytes:
    return json.dumps(configuration.build_config(_ROUTES)).encode()


class CatalogCopiesTest(testtools.TestCase):
    def test_a_zone_has_it_before_its_hub_is_held_up_for_long(self) -> None:
        async def scenario() -> int:
            hub = _build_state()
            hub.store.offer(_build_record(), "the test")
            asker = state_copies.StateTransfer(_build_state())
            copies = state_copies.StateTransfer(hub)
            copy = copies.create_copy(asker.create_request(), [])
            return len(messages.encode_message(copy))

        size = trio.run(scenario)
        self.assertLess(_DAEMONS * size / _LINK_BYTES_PER_S, _MOST_S)

    def test_the_copy_is_the_same_configuration(self) -> None:
        async def scenario() -> None:
            hub, own = _build_state(), _build_state()
            hub.store.offer(_build_record(), "the test")
            asker = state_copies.StateTransfer(own)
            want = asker.create_request()
            asker.take(state_copies.StateTransfer(hub).create_copy(want, []))
            self.assertEqual(hub.store.table.catalog, own.store.table.catalog)
            # It can be handed on from there.
            self.assertEqual(hub.store.packed, own.store.packed)

        trio.run(scenario)

    def test_bytes_that_cannot_be_unpacked_change_nothing(self) -> None:
        async def scenario() -> None:
            own = _build_state()
            own.store.offer(_build_record(), "the test")
            version = own.store.version
            for packed in (b"\xff", own.store.packed[:-9], b"{}"):
                self.assertFalse(own.store.offer_packed(packed, "a peer"))
            self.assertEqual(version, own.store.version)

        trio.run(scenario)
