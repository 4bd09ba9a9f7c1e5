"""Find bytes that a server has sent behind a whole answer.

httpcore keeps them, and takes them for the answer to the next request on the
connection.
"""

from __future__ import annotations

import httptools

__all__ = ["AnswerEnd"]

_FIRST_FINAL_STATUS = 200


class AnswerEnd:
    """Follows the bytes of the answer to one request.

    Attributes:
        has_surplus: Bytes came behind the answer, or none that are an answer.
    """

    def __init__(self) -> None:
        self.has_surplus = False
        self._has_ended = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if self.has_surplus:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.has_surplus = True

    def on_message_begin(self) -> None:
        """Note that a message begins; called by the parser."""
        self.has_surplus |= self._has_ended

    def on_message_complete(self) -> None:
        """Note the end of an answer; called by the parser."""
        # Interim answers come before it.
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._has_ended = True
