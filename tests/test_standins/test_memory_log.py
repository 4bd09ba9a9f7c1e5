"""The in-memory log knows by the topic whether records have keys."""

from __future__ import annotations

import testtools
import trio

from martenquay_standins.ports import log

# An encoded number with the byte of "=", which separates key and value.
_PAYLOAD = b"\x92\xce\x15\x4a\x3d\x00\x80"


class MemoryLogTest(testtools.TestCase):
    def test_a_record_without_a_key_may_hold_the_key_separator(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            await store.append("usage", [_PAYLOAD])
            self.assertEqual([_PAYLOAD], store.list_payloads("usage"))
            newest = await store.read_newest("usage")
            self.assertEqual((), newest.ok.records)

        trio.run(scenario)
