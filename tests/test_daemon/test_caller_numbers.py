"""Numbers of any size in a caller's headers end no other request."""

from __future__ import annotations

import trio

from martenquay_core.serving import catalog
from tests import fault_scene
from tests import serving_builders as builders

_HUGE = 10**30
_TOO_LONG = b"9" * 5000
# Several digests, each with the load at the runners.
_DIGESTS_S = 0.5
_ENGINE = catalog.EngineTraits(slots=8, kv_tokens=100_000)


class CallerNumbersTest(fault_scene.FaultTestCase):
    def _run(self, *headers: bytes) -> list[bytes]:
        answers: list[bytes] = []

        async def fail(scene: fault_scene.FaultScene) -> None:
            head = b"\r\n".join(
                [b"GET /lookup/8 HTTP/1.1", b"host: desk.example", *headers]
            )
            host, _, port = scene.daemon.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                requests = len(scene.runner.requests)
                await stream.send_all(head + b"\r\n\r\n")
                while len(scene.runner.requests) == requests:
                    await trio.sleep(0.01)
                await trio.sleep(_DIGESTS_S)
                scene.resume.set()
                answers.append(await stream.receive_some(65_536))

        self.run_beside_request(
            fail,
            routes=(builders.build_route(kind=catalog.CallKind.STREAM),),
            services={"desk": builders.build_service(engine=_ENGINE)},
        )
        return answers

    def _assert_served(self, *headers: bytes) -> None:
        answers = self._run(*headers)
        self.assertTrue(answers[0].startswith(b"HTTP/1.1 200"), answers)

    def test_a_huge_number_of_prompt_tokens(self) -> None:
        self._assert_served(b"token-counts: %d,5" % _HUGE)

    def test_a_huge_number_of_answer_tokens(self) -> None:
        self._assert_served(b"token-counts: 5,%d" % _HUGE)

    def test_a_huge_prompt_part(self) -> None:
        self._assert_served(
            b"token-counts: 5,5", b"prefix-hash: aa:%d,bb:1" % _HUGE
        )

    def test_a_huge_deadline(self) -> None:
        self._assert_served(b"deadline-ms: " + b"9" * 400)

    def test_numbers_of_too_many_digits(self) -> None:
        self._assert_served(b"token-counts: " + _TOO_LONG + b",5")
        self._assert_served(b"deadline-ms: " + _TOO_LONG)
        self._assert_served(b"prefix-hash: aa:" + _TOO_LONG + b",bb:1")

    def test_a_digit_that_is_no_decimal(self) -> None:
        self._assert_served(b"prefix-hash: aa:\xb2,bb:1")
