"""Approximate index of the prompt prefixes in runners' caches."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["PrefixIndex"]

_MAX_HOLDERS = 4
_DEFAULT_MAX_BLOCKS = 80_000


class PrefixIndex:
    """Maps block hashes to the few runners that hold them.

    Entries come from placements and late cache events, so they may be wrong;
    a wrong entry costs a repeated prefill only.
    """

    def __init__(self, max_blocks: int = _DEFAULT_MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        # Holders by block, the least recently noted block first, as it is
        # evicted first.
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of indexed blocks."""
        return len(self._holders)

    def note_held(self, runner: str, blocks: list[int]) -> None:
        """Record that a runner holds these blocks."""
        for block in blocks:
            known = self._holders.get(block, ())
            if not known or known[-1] != runner:
                others = tuple(name for name in known if name != runner)
                self._holders[block] = (*others, runner)[-_MAX_HOLDERS:]
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def note_dropped(self, runner: str, blocks: list[int]) -> None:
        """Record that a runner has evicted these blocks."""
        for block in blocks:
            known = self._holders.get(block)
            if known is None or runner not in known:
                continue
            remaining = tuple(name for name in known if name != runner)
            if remaining:
                self._holders[block] = remaining
            else:
                del self._holders[block]

    def forget_runner(self, runner: str) -> None:
        """Remove all blocks of a runner."""
        held = [
            block for block, names in self._holders.items() if runner in names
        ]
        self.note_dropped(runner, held)

    def replace_runner(self, runner: str, blocks: list[int]) -> None:
        """Replace the blocks of a runner, after a gap in its events."""
        self.forget_runner(runner)
        self.note_held(runner, blocks)

    def measure_held(self, chain: list[int]) -> dict[str, int]:
        """Return how many leading blocks of a prompt each runner holds.

        The search runs from the last block and stops after a few runners, so
        its cost does not grow with the pool.
        """
        held: dict[str, int] = {}
        for depth in range(len(chain), 0, -1):
            for name in self._holders.get(chain[depth - 1], ()):
                held.setdefault(name, depth)
            if len(held) >= _MAX_HOLDERS:
                break
        return held
