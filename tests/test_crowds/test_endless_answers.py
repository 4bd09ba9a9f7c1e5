"""A runner's answers without end, many at once, fit in the process's memory."""

from __future__ import annotations

from tests import crowd_case, crowd_scene, endless_runner
from tests.endless_runner import EndlessAnswer

_CLIENTS = 100
# An event may have a quarter of what a plain answer may.
_STREAM_CLIENTS = 300
_MARKER = b"/endless"
_REQUEST = (
    b"GET /%b/endless HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: call\r\ndeadline-ms: 10000\r\n\r\n"
)
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_HEAD = _STATUS_LINE + b"server-seal: s\r\n"
_UNSIZED = _HEAD + b"\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_CHUNK = b"8000\r\n" + bytes(32_768) + b"\r\n"
_MOST_BYTES = 4_000_000_000


class EndlessAnswersTest(crowd_case.CrowdCase):
    def _play_answers(
        self,
        first: bytes,
        piece: bytes,
        *,
        route: bytes = b"lookup",
        pause_s: float = 0.0,
        clients: int = _CLIENTS,
    ) -> None:
        async def ask(scene: crowd_scene.CrowdScene) -> None:
            await scene.ask(_REQUEST % route)

        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            await scene.play(clients, ask)
            await self.assert_healthy(scene)

        answer = EndlessAnswer(
            first, piece, pause_s=pause_s, most_bytes=_MOST_BYTES
        )
        self.play(
            scenario, runner=endless_runner.EndlessRunner(answer, _MARKER)
        )

    def test_chunks(self) -> None:
        self._play_answers(_CHUNKED, _CHUNK)

    def test_a_body_without_length(self) -> None:
        self._play_answers(_UNSIZED, b"x" * 1024)

    def test_a_failure_that_might_be_kept_for_later(self) -> None:
        self._play_answers(_UNSIZED.replace(b"200 OK", b"500 X"), b"x" * 1024)

    def test_a_body_that_stops_short_of_its_length(self) -> None:
        # The rest drips, so that it is read until the deadline.
        length = b"content-length: %d\r\n\r\n" % crowd_scene.BODY_BYTES
        most = bytes(crowd_scene.BODY_BYTES - 1_000)
        self._play_answers(_HEAD + length + most, b"x", pause_s=1.0)

    def test_an_event_without_an_end(self) -> None:
        self._play_answers(
            _UNSIZED, b"data: x\n", route=b"note", clients=_STREAM_CLIENTS
        )

    def test_an_event_that_stops_short_of_its_end(self) -> None:
        self._play_answers(
            _UNSIZED + b"data: x\n" * 120_000,
            b"x\n",
            route=b"note",
            pause_s=1.0,
            clients=_STREAM_CLIENTS,
        )

    def test_a_head(self) -> None:
        self._play_answers(_STATUS_LINE, b"x: x\r\n")

    def test_bytes_that_are_no_answer(self) -> None:
        self._play_answers(b"", b"\x00\xff")
