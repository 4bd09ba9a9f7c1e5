"""A transfer leaves the stream in the state that its answers imply."""

from __future__ import annotations

import testtools
import trio
import trio.testing

from martenquay_core.serving import moves
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.migration import stream, transfer
from tests import migration_builders as builders
from tests import serving_builders

_SOURCE = serving_builders.build_runner(id="source", address="127.0.0.1:1")
_TARGETS = [
    serving_builders.build_runner(id=f"target-{n}", address=f"127.0.0.1:{n}")
    for n in (2, 3)
]
_COPIED = moves.Copied("h-1", 3)


class FakeEngines:
    """Fake of `ports.EnginePort` that gives scripted answers.

    Attributes:
        orders: The orders that it got.
        freed: Address and handle of each call that frees a copy.
    """

    def __init__(self, *answers: moves.MoveAnswer) -> None:
        self.orders: list[moves.MoveOrder] = []
        self.freed: list[tuple[str, str]] = []
        self.can_free = True
        self._answers = list(answers)

    async def move_run(
        self, address: str, order: moves.MoveOrder, timeout_s: float
    ) -> moves.MoveAnswer:
        del address, timeout_s
        await trio.lowlevel.checkpoint()
        self.orders.append(order)
        return self._answers.pop(0)

    async def free_copy(
        self, address: str, handle: str, timeout_s: float
    ) -> bool:
        del timeout_s
        await trio.lowlevel.checkpoint()
        self.freed.append((address, handle))
        return self.can_free


class TransferTest(testtools.TestCase):
    def move(
        self,
        *answers: moves.MoveAnswer,
        connection: builders.FakeConnection | None = None,
    ) -> stream.MoveOutcome | None:
        """Move a stream with scripted answers; return the outcome."""
        self.engines = FakeEngines(*answers)
        self.stream = builders.build_watched_stream(_SOURCE, connection)

        async def run() -> stream.MoveOutcome | None:
            run_transfer = transfer.Transfer(self.engines)
            # Callers give up a stream without an event after 2 s.
            with trio.fail_after(2.0):
                return await run_transfer.move(self.stream, _TARGETS, 0.01)

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run, clock=clock)

    def test_a_stopped_stream_that_never_ends_is_made_to_end(self) -> None:
        for completes_events in (False, True):
            connection = builders.EndlessConnection(
                completes_events=completes_events
            )
            self.assertIsNone(
                self.move(_COPIED, _COPIED, connection=connection)
            )
            self.assertTrue(connection.is_reading_stopped)

    def test_a_run_is_copied_and_then_stopped(self) -> None:
        self.assertIsNone(self.move(_COPIED, moves.Copied("h-1", 5)))
        self.assertEqual(
            [False, True], [order.is_last for order in self.engines.orders]
        )
        self.assertEqual(
            exchange.Moved(_SOURCE, _TARGETS[0], "h-1"), self.stream.stopped
        )
        self.assertTrue(self.stream.connection.is_reading_stopped)

    def test_a_run_that_was_stopped_without_a_copy_returns(self) -> None:
        self.assertIsNone(self.move(_COPIED, moves.MoveRefused("h-1")))
        self.assertEqual(
            exchange.Moved(_SOURCE, _SOURCE, "h-1"), self.stream.stopped
        )

    def test_a_run_that_was_not_stopped_may_end_at_once(self) -> None:
        # An end is held back only while a call that stops the run is open.
        for answer in (
            moves.MoveFailed("gone"),
            moves.RunMissing(),
            moves.MoveRefused(None),
        ):
            self.move(_COPIED, answer)
            self.assertIsNone(self.stream.stopped)
            self.assertFalse(self.stream.is_stopping)

    def test_a_lost_answer_leaves_open_whether_the_run_is_complete(
        self,
    ) -> None:
        """A stopped stream that ends cleanly was passed on as complete."""
        self.move(_COPIED, moves.MoveFailed("no answer in time"))
        self.assertTrue(self.stream.may_be_stopped)
        self.assertEqual(
            exchange.Moved(_SOURCE, _TARGETS[0], "h-1"),
            self.stream.find_continuation(),
        )
        self.move(_COPIED, moves.MoveFailed("refused", is_sent=False))
        self.assertFalse(self.stream.may_be_stopped)

    def test_a_busy_source_does_not_use_up_the_copies(self) -> None:
        """Ten tries of one call kept the stream from being moved again."""
        self.move(*[moves.MoveBusy()] * 10)
        self.assertEqual(1, self.stream.copy_calls)

    def test_a_failed_call_is_not_held_against_the_target(self) -> None:
        outcome = self.move(moves.MoveFailed("no answer"))
        self.assertIs(stream.MoveOutcome.FAILED, outcome)
        self.assertEqual(set(), self.stream.current.refused_targets)
        self.assertEqual(1, len(self.engines.orders))

    def test_each_target_is_asked_once_and_then_remembered(self) -> None:
        refusal = moves.MoveRefused(None)
        outcome = self.move(refusal, refusal)
        self.assertIs(stream.MoveOutcome.REFUSED, outcome)
        self.assertEqual(
            {"target-2", "target-3"}, self.stream.current.refused_targets
        )

    def test_a_busy_run_is_asked_for_again_for_some_time(self) -> None:
        outcome = self.move(*[moves.MoveBusy()] * 10)
        self.assertIs(stream.MoveOutcome.FAILED, outcome)
        self.assertEqual(10, len(self.engines.orders))

    def test_a_copy_is_freed_at_the_target_if_the_source_is_gone(self) -> None:
        engines = FakeEngines()
        engines.can_free = False
        copy = stream.Copy(_TARGETS[0], "h-1")
        trio.run(transfer.Transfer(engines).free, _SOURCE, copy)
        self.assertEqual(
            [(_SOURCE.address, "h-1"), (_TARGETS[0].address, "h-1")],
            engines.freed,
        )
