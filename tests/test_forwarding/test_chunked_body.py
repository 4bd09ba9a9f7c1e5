"""Chunked bodies end where h11 says, however they are divided."""

from __future__ import annotations

import random

import h11
import testtools

from martenquay_daemon.forwarding import chunked_body

_SEEDS = 400
_HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
_NEXT = b"GET /next HTTP/1.1\r\n\r\n"
# What may look like the end of a body, or does once it is joined.
_FRAGMENTS = (b"\r", b"\n", b"\r\n", b"\r\n\r\n", b"0\r\n\r\n", b"0", b"x")
_MALFORMED = (
    b"3\nabc\r\n",
    b"0x3\r\nabc\r\n",
    b"-1\r\n",
    b"g\r\n",
    b"3\r\nabcd\r\n",
    b"3 \r\nabc\r\n",
    b"\r\n3\r\nabc\r\n",
    b"ffffffffffffffffff\r\n",
    b"0\r\nno colon\r\n\r\n",
    b"3\r\nabc\n0\r\n\r\n",
)


def _draw_body(generator: random.Random) -> tuple[bytes, bytes]:
    """Return a body and its chunked encoding."""
    chunks = [
        b"".join(generator.choices(_FRAGMENTS, k=generator.randrange(1, 9)))
        for _ in range(generator.randrange(6))
    ]
    extension = generator.choice([b"", b";a=b", b';a="c;d"', b";e"])
    encoded = b"".join(
        b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )
    trailers = generator.choice([b"", b"t: x\r\n", b"t: 0\r\nu: \r\n"])
    return b"".join(chunks), encoded + b"0\r\n" + trailers + b"\r\n"


def _find_end(raw: bytes) -> int:
    """Return where a body ends according to h11."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(_HEAD + raw)
    while type(http.next_event()) is not h11.EndOfMessage:
        pass
    return len(raw) - len(http.trailing_data[0])


class ChunkedBodyTest(testtools.TestCase):
    def test_drawn_bodies_that_are_divided_anywhere(self) -> None:
        for seed in range(_SEEDS):
            generator = random.Random(seed)
            expected, encoded = _draw_body(generator)
            raw = encoded + generator.choice([b"", _NEXT, b"\r\n\r\n"])
            body = bytearray()
            decoder = chunked_body.ChunkedBody(body)
            position = 0
            while not decoder.has_ended:
                size = generator.choice([1, 2, 3, 5, 40])
                position += decoder.feed(raw[position : position + size])
            self.assertEqual(expected, bytes(body), f"seed {seed}")
            self.assertEqual(len(encoded), position, f"seed {seed}")
            self.assertEqual(_find_end(raw), position, f"seed {seed}")

    def test_bytes_that_are_no_chunks_are_rejected(self) -> None:
        for raw in _MALFORMED:
            decoder = chunked_body.ChunkedBody(bytearray())
            with self.assertRaises(chunked_body.MalformedChunkError, msg=raw):
                decoder.feed(raw)

    def test_bytes_without_a_body_are_counted(self) -> None:
        decoder = chunked_body.ChunkedBody(bytearray())
        decoder.feed(b"1\r\nx\r\n")
        for _ in range(10):
            decoder.feed(b"0" * 100)
        self.assertEqual(1000, decoder.idle_bytes)
