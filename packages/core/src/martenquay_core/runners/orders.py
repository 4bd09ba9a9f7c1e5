"""Define the messages between a daemon and a model engine."""

from __future__ import annotations

import msgspec

from martenquay_core.util import blocks

__all__ = [
    "BlockList",
    "CacheEvent",
    "GenerateOrder",
    "Load",
    "StreamEvent",
    "StreamFinished",
    "StreamStarted",
    "TokenEvent",
]


class GenerateOrder(msgspec.Struct, frozen=True):
    """Ask for tokens.

    Attributes:
        request_id: The request.
        attempt: Grows with each runner that is tried for the request.
        prompt: The prompt's text.
        max_tokens: The last token's index plus one.
        priority: 0 is the most urgent.
        generated: Tokens that the caller has already; the engine goes on
            from there.
    """

    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    priority: int
    generated: list[str] = []

    def full_text(self) -> str:
        """Return the prompt and what was generated."""
        return self.prompt + " " + "".join(self.generated)

    def count_tokens(self) -> int:
        """Return how many tokens have to be in the cache before the next."""
        return blocks.count_tokens(self.prompt) + len(self.generated)


class StreamStarted(msgspec.Struct, frozen=True, tag="started"):
    """The prompt has been read.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        cached_tokens: Tokens that the cache held.
        prompt_tokens: All tokens that had to be there.
    """

    request_id: str
    attempt: int
    cached_tokens: int
    prompt_tokens: int


class TokenEvent(msgspec.Struct, frozen=True, tag="token"):
    """One token.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        index: The token's place in the answer, from 0.
        text: The token's text.
    """

    request_id: str
    attempt: int
    index: int
    text: str


class StreamFinished(msgspec.Struct, frozen=True, tag="finished"):
    """The answer is whole.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        count: How many tokens the answer has.
    """

    request_id: str
    attempt: int
    count: int


StreamEvent = StreamStarted | TokenEvent | StreamFinished


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    Attributes:
        number: Counts from 1; a number left out is a gap.
        added: Hashes of blocks now held.
        removed: Hashes of blocks no longer held.
    """

    number: int
    added: list[int]
    removed: list[int]


class BlockList(msgspec.Struct, frozen=True):
    """All that an engine's prefix cache holds.

    Attributes:
        number: The last cache event that is counted in.
        blocks: Hashes of the blocks.
    """

    number: int
    blocks: list[int]


class Load(msgspec.Struct, frozen=True):
    """An engine's load, as of some time ago.

    Attributes:
        running: Requests being worked on.
        queued: Requests waiting for a slot.
    """

    running: int
    queued: int
