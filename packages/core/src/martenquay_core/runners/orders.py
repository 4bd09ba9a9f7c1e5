"""Messages between a daemon and a model engine."""

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
    """Request to generate tokens.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt; grows with each runner tried.
        prompt: Text of the prompt.
        max_tokens: Maximum length of the answer, `generated` included.
        priority: Priority; 0 is the most urgent.
        generated: Tokens of earlier attempts, which the engine continues.
    """

    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    priority: int
    generated: list[str] = []

    def full_text(self) -> str:
        """Return the prompt followed by the generated tokens."""
        return self.prompt + " " + "".join(self.generated)

    def count_tokens(self) -> int:
        """Return how many tokens must be in the KV cache to go on."""
        return blocks.count_tokens(self.prompt) + len(self.generated)


class StreamStarted(msgspec.Struct, frozen=True, tag="started"):
    """Event: the engine has processed the prompt.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        cached_tokens: Prompt tokens that were in the prefix cache.
        prompt_tokens: All tokens to process before the first new one.
    """

    request_id: str
    attempt: int
    cached_tokens: int
    prompt_tokens: int


class TokenEvent(msgspec.Struct, frozen=True, tag="token"):
    """Event: one generated token.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        index: Index of the token in the answer, from 0.
        text: Text of the token.
    """

    request_id: str
    attempt: int
    index: int
    text: str


class StreamFinished(msgspec.Struct, frozen=True, tag="finished"):
    """Event: the answer is complete.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        count: Number of tokens in the answer.
    """

    request_id: str
    attempt: int
    count: int


StreamEvent = StreamStarted | TokenEvent | StreamFinished


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an engine's prefix cache.

    Attributes:
        number: Sequence number from 1; a skipped one means a lost event.
        added: Hashes of added blocks.
        removed: Hashes of evicted blocks.
    """

    number: int
    added: list[int]
    removed: list[int]


class BlockList(msgspec.Struct, frozen=True):
    """Complete content of an engine's prefix cache.

    Attributes:
        number: Sequence number of the last cache event included.
        blocks: Hashes of the blocks.
    """

    number: int
    blocks: list[int]


class Load(msgspec.Struct, frozen=True):
    """An engine's load, as of some time ago.

    Attributes:
        running: Requests in progress.
        queued: Requests waiting for a slot.
    """

    running: int
    queued: int
