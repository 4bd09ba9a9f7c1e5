"""Know, without certainty, which runners hold which prompt prefixes.

What is known comes from the daemon's own placements and from the engines'
cache events, which come late and with gaps. A wrong entry costs a prompt
read again, never a wrong answer.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["PrefixIndex"]

_MAX_HOLDERS = 4
_DEFAULT_BLOCKS = 80_000


class PrefixIndex:
    """Map block hashes to the few runners that hold them."""

    def __init__(self, max_blocks: int = _DEFAULT_BLOCKS) -> None:
        self._max_blocks = max_blocks
        # The holder that was noted last comes last.
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def __len__(self) -> int:
        """Return how many blocks are known."""
        return len(self._holders)

    def note_held(self, runner: str, blocks: list[int]) -> None:
        """Note that a runner holds these blocks."""
        for block in blocks:
            known = self._holders.get(block, ())
            if not known or known[-1] != runner:
                others = tuple(name for name in known if name != runner)
                self._holders[block] = (*others, runner)[-_MAX_HOLDERS:]
            self._holders.move_to_end(block)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def note_dropped(self, runner: str, blocks: list[int]) -> None:
        """Note that a runner holds these blocks no longer."""
        for block in blocks:
            known = self._holders.get(block)
            if known is None or runner not in known:
                continue
            rest = tuple(name for name in known if name != runner)
            if rest:
                self._holders[block] = rest
            else:
                del self._holders[block]

    def forget_runner(self, runner: str) -> None:
        """Note that a runner holds nothing."""
        held = [
            block for block, names in self._holders.items() if runner in names
        ]
        self.note_dropped(runner, held)

    def replace_runner(self, runner: str, blocks: list[int]) -> None:
        """Note exactly what a runner holds, after a gap in its events."""
        self.forget_runner(runner)
        self.note_held(runner, blocks)

    def measure_held(self, chain: list[int]) -> dict[str, int]:
        """Return how many leading blocks each runner holds.

        Only the runners that hold the deepest known block and those met on
        the way to it are counted, so the cost does not grow with the pool.
        """
        held: dict[str, int] = {}
        for depth in range(len(chain), 0, -1):
            for name in self._holders.get(chain[depth - 1], ()):
                held.setdefault(name, depth)
            if len(held) >= _MAX_HOLDERS:
                break
        return held
