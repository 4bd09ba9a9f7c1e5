"""Decode chunked bodies of callers in C; h11 takes microseconds a chunk."""

from __future__ import annotations

import httptools

__all__ = ["ChunkedBody", "MalformedChunkError", "is_mostly_framing"]

# The parser takes whole messages. What a caller's head says is h11's to judge.
_HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
# Bytes that frame a body: a chunk of one byte has five others. Servers ought to
# limit chunk extensions (RFC 9112, 7.1.1).
_MAX_FRAMING_BYTES = 65_536
_MAX_FRAMING_PER_BODY_BYTE = 8
# Each chunked body ends so, with trailers or without.
_END = b"\r\n\r\n"


class MalformedChunkError(Exception):
    """The bytes are no chunked body."""


class ChunkedBody:
    """Decodes one body and finds its end.

    Attributes:
        has_ended: The body is complete.
        idle_bytes: Bytes of sizes, extensions or trailers since the body last
            gained a byte.
    """

    def __init__(self, body: bytearray) -> None:
        """Create a decoder.

        Args:
            body: Gets what is decoded.
        """
        self.has_ended = False
        self.idle_bytes = 0
        self._body = body
        self._last_bytes = b""
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    def feed(self, data: bytes) -> int:
        """Decode bytes up to the end of the body; return how many were taken.

        Raises:
            MalformedChunkError: They are no chunked body.
        """
        taken = 0
        while taken < len(data) and not self.has_ended:
            taken += self._feed_to_end(data, taken)
        return taken

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._body += data

    def on_message_complete(self) -> None:
        """Note the end of the body; called by the parser."""
        self.has_ended = True

    def _feed_to_end(self, data: bytes, start: int) -> int:
        """Decode up to where the body may end; return how many bytes.

        The parser would take what follows the body for another message.
        """
        overlap = len(self._last_bytes)
        # The end may have begun in an earlier piece.
        found = (self._last_bytes + data[start : start + len(_END)]).find(_END)
        if found >= 0:
            end = start + found + len(_END) - overlap
        else:
            found = data.find(_END, start)
            end = found + len(_END) if found >= 0 else len(data)
        body_bytes = len(self._body)
        piece = data[start:end]
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            raise MalformedChunkError(str(error)) from error
        gained = len(self._body) > body_bytes
        self.idle_bytes = 0 if gained else self.idle_bytes + len(piece)
        self._last_bytes = (self._last_bytes + piece)[-len(_END) + 1 :]
        return len(piece)


def is_mostly_framing(framing_bytes: int, body_bytes: int) -> bool:
    """Return whether a body has more framing than chunks of one byte need."""
    return framing_bytes > (
        _MAX_FRAMING_BYTES + _MAX_FRAMING_PER_BODY_BYTE * body_bytes
    )
