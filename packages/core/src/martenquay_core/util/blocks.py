"""Hash prompts in blocks, so that equal prefixes have equal hashes.

Words stand for the model's tokens; daemon and engine only have to split a
prompt alike.
"""

from __future__ import annotations

import hashlib

__all__ = ["BLOCK_TOKENS", "chain_blocks", "count_tokens"]

BLOCK_TOKENS = 32
_HASH_BYTES = 8


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text."""
    return len(text.split())


def chain_blocks(text: str) -> list[int]:
    """Return a hash for each full block that also covers all blocks before."""
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
