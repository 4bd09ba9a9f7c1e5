"""The log in memory tells records with keys by their topic."""

from __future__ import annotations

import testtools
import trio

from martenquay_standins.ports import log

# A number, encoded, in which the byte of "=" happens to stand.
_PAYLOAD = b"\x92\xce\x15\x4a\x3d\x00\x80"


class MemoryLogTest(testtools.TestCase):
    def test_any_byte_may_stand_in_a_record_without_a_key(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            await store.append("usage", [_PAYLOAD])
            self.assertEqual([_PAYLOAD], store.list_payloads("usage"))
            newest = await store.read_newest("usage")
            self.assertEqual((), newest.ok.records)

        trio.run(scenario)
