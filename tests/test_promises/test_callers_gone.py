"""Slow and disconnected callers neither leak requests nor lose outcomes."""

from __future__ import annotations

from typing import Any

import trio

from martenquay_standins import partners
from tests import scenarios

_HEAD = (
    "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
    "serrana-counter\r\nidempotency-key: {key}\r\ncontent-length: {length}"
    "\r\n\r\n"
)
_BOOKING = "/services/booking/slots"


class GoneCallerTest(scenarios.ScenarioTestCase):
    async def _open(
        self, daemon: Any, path: str, length: int, key: str = "k"
    ) -> trio.SocketStream:
        host, port = daemon.addresses.callers.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        head = _HEAD.format(path=path, key=key, length=length)
        await stream.send_all(head.encode())
        return stream

    def test_a_body_that_times_out_is_answered_and_runs_nothing(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(
                partners.SERRANA, 1, limits={"body_timeout_s": 0.2}
            )
            stream = await self._open(daemons[0], _BOOKING, 100)
            answer = b""
            while b"2006" not in answer:
                answer += await stream.receive_some(4096)
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"))
            self.assertEqual(0, sum(service.runs.values()))

        self.run_scene(scenario)

    def test_a_caller_that_disconnects_during_its_body_leaks_no_request(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            stream = await self._open(daemons[0], _BOOKING, 100)
            await stream.send_all(b"half")
            await stream.aclose()

            async def is_idle() -> bool:
                return daemons[0].process.readiness.in_progress == 0

            await scene.wait_until(is_idle)
            self.assertEqual(0, sum(service.runs.values()))

        self.run_scene(scenario)

    def test_a_booking_whose_caller_disconnected_is_kept_for_its_retry(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            service.set_faults({"delay_s": 0.5})
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            stream = await self._open(daemons[0], _BOOKING, 4, "slot-1")
            await stream.send_all(b"slot")

            async def is_running() -> bool:
                rows = await scene.list_rows(daemons[0], "show requests")
                return any(row["runner"] for row in rows)

            await scene.wait_until(is_running)
            await stream.aclose()
            reply = await scene.caller.book(daemons[1], "slot-1")
            self.assertEqual(200, reply.status)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)
