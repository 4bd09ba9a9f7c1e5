"""A hub sends the catalog to its zone compressed.

Sent uncompressed, a large catalog fills the hub's link for seconds, and quota
requests to the hub are answered late.
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
# 10 Mbit/s, the slowest link of a daemon.
_LINK_BYTES_PER_S = 10e6 / 8
# Longer, and short calls would miss their deadlines.
_MAX_S = 1.0


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


def _build_catalog_record() -> bytes:
    return json.dumps(configuration.build_config(_ROUTES)).encode()


class CatalogCopiesTest(testtools.TestCase):
    def test_a_hub_sends_a_large_catalog_to_its_zone_within_a_second(
        self,
    ) -> None:
        async def scenario() -> int:
            hub = _build_state()
            hub.store.offer(_build_catalog_record(), "the test")
            requester = state_copies.StateTransfer(_build_state())
            sender = state_copies.StateTransfer(hub)
            reply = sender.create_reply(requester.create_request(), [])
            return len(messages.encode_message(reply))

        size = trio.run(scenario)
        self.assertLess(_DAEMONS * size / _LINK_BYTES_PER_S, _MAX_S)

    def test_the_reply_holds_the_same_catalog(self) -> None:
        async def scenario() -> None:
            hub, own = _build_state(), _build_state()
            hub.store.offer(_build_catalog_record(), "the test")
            requester = state_copies.StateTransfer(own)
            request = requester.create_request()
            requester.apply_reply(
                state_copies.StateTransfer(hub).create_reply(request, [])
            )
            self.assertEqual(hub.store.table.catalog, own.store.table.catalog)
            # The receiver can pass it on.
            self.assertEqual(hub.store.packed, own.store.packed)

        trio.run(scenario)

    def test_bytes_that_cannot_be_unpacked_do_not_replace_the_catalog(
        self,
    ) -> None:
        async def scenario() -> None:
            own = _build_state()
            own.store.offer(_build_catalog_record(), "the test")
            version = own.store.version
            for packed in (b"\xff", own.store.packed[:-9], b"{}"):
                self.assertFalse(own.store.offer_packed(packed, "a peer"))
            self.assertEqual(version, own.store.version)

        trio.run(scenario)
