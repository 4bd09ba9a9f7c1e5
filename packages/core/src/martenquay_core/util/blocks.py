"""Cut prompts into blocks whose chained hashes name cached prefixes.

Words stand for tokens: the model's own tokenizer is the engine's affair, and
the two only have to cut alike.
"""

from __future__ import annotations

import hashlib

__all__ = ["BLOCK_TOKENS", "chain_blocks", "count_tokens"]

BLOCK_TOKENS = 32
_HASH_BYTES = 8


def count_tokens(text: str) -> int:
    """Return how many tokens a text has."""
    return len(text.split())


def chain_blocks(text: str) -> list[int]:
    """Return one hash a whole block; each covers all blocks before it."""
    words = text.split()
    hashes: list[int] = []
    previous = b""
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS]).encode()
        digest = hashlib.blake2b(
            previous + block, digest_size=_HASH_BYTES
        ).digest()
        hashes.append(int.from_bytes(digest, "big"))
        previous = digest
    return hashes
