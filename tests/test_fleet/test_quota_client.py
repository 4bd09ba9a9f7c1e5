"""A question for units is answered soon, by whoever keeps some."""

from __future__ import annotations

import trio

from martenquay_daemon.allowances import terms
from martenquay_daemon.fleet import messages, quota_client
from tests import clocked

_WISH = terms.AdmissionRequest(500.0, 1)
_GRANTED = messages.QuotaVerdict.GRANTED
_REFUSED = messages.QuotaVerdict.REFUSED
_PASSED = messages.QuotaVerdict.PASSED
_REDIRECTED = messages.QuotaVerdict.REDIRECTED


class _Ways:
    """Implement `quota_client.QuotaTransport` with keepers that answer as told.

    Attributes:
        keepers: Their addresses.
        answers: By address: after how long which replies come.
        sent: Who was asked.
    """

    def __init__(self) -> None:
        self.keepers = ["hub-1", "hub-2", "far-1", "far-2"]
        self.answers: dict[str, list[tuple[float, messages.QuotaVerdict]]] = {}
        self.sent: list[str] = []
        self.holder = ""
        self.unlinked: set[str] = set()
        self.redirected: list[str] = []
        self.nursery: trio.Nursery | None = None
        self.desk: quota_client.QuotaClient | None = None

    def holds_own_quota(self) -> bool:
        """Tell that others do."""
        return False

    def list_quota_hubs(self) -> list[str]:
        """Return whom to ask."""
        return list(self.keepers)

    def send_to(self, address: str, raw: bytes) -> bool:
        """Have the keeper answer as told."""
        if address in self.unlinked:
            return False
        self.sent.append(address)
        want = messages.decode_message(raw)
        if want.is_redirected:
            self.redirected.append(address)
        for after_s, verdict in self.answers.get(address, []):
            reply = messages.QuotaReply(
                want.number, verdict, 0.6, self.holder, address
            )
            self.nursery.start_soon(self._reply, after_s, address, reply)
        return True

    async def _reply(self, after_s: float, address: str, reply) -> None:
        await trio.sleep(after_s)
        self.desk.apply_reply(address, reply)


class UnitDeskTest(clocked.ClockedTestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            self.ways = _Ways()
            self.outcomes: list[str] = []
            self.desk = quota_client.QuotaClient(self.ways)
            self.desk.observe = lambda outcome, _: self.outcomes.append(outcome)
            self.ways.desk = self.desk
            async with trio.open_nursery() as nursery:
                self.ways.nursery = nursery
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def test_the_first_keeper_answers_alone_when_it_is_there(self) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [(0.003, _GRANTED)]
            answer = await self.desk.ask("florists", _WISH)
            self.assertTrue(answer.is_admitted)
            self.assertEqual("hub-1", answer.kept_at)
            self.assertEqual(["hub-1"], self.ways.sent)
            self.assertEqual(["granted"], self.outcomes)

        self._run(scenario)

    def test_the_next_one_is_asked_when_it_says_nothing(self) -> None:
        async def scenario() -> None:
            self.ways.answers["far-1"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            answer = await self.desk.ask("florists", _WISH)
            self.assertEqual((0.0, "far-1"), (answer.retry_s, answer.kept_at))
            self.assertLess(trio.current_time() - started, 0.1)
            # Who was silent comes after the others the next time.
            self.ways.sent.clear()
            await self.desk.ask("florists", _WISH)
            self.assertEqual(["far-1"], self.ways.sent)

        self._run(scenario)

    def test_a_keeper_is_asked_as_soon_as_the_link_to_it_is_up(self) -> None:
        async def scenario() -> None:
            self.ways.unlinked = {"far-1", "far-2"}
            self.ways.answers["far-1"] = [(0.003, _GRANTED)]

            async def link() -> None:
                await trio.sleep(0.1)
                self.ways.unlinked = set()

            self.ways.nursery.start_soon(link)
            started = trio.current_time()
            answer = await self.desk.ask("florists", _WISH)
            self.assertEqual("far-1", answer.kept_at)
            self.assertLess(trio.current_time() - started, 0.12)

        self._run(scenario)

    def test_the_daemon_that_a_keeper_names_is_asked_next(self) -> None:
        async def scenario() -> None:
            self.ways.holder = "far-2"
            self.ways.answers["hub-1"] = [(0.003, _REDIRECTED)]
            self.ways.answers["far-2"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            answer = await self.desk.ask("florists", _WISH)
            self.assertEqual("far-2", answer.kept_at)
            self.assertAlmostEqual(0.006, trio.current_time() - started)
            self.assertEqual(["hub-1", "far-2"], self.ways.sent)
            self.assertEqual(["far-2"], self.ways.redirected)
            # Its word is final: what was told of it was old.
            self.ways.answers["far-2"] = [(0.003, _REFUSED)]
            answer = await self.desk.ask("florists", _WISH)
            self.assertFalse(answer.is_admitted)

        self._run(scenario)

    def test_a_daemon_that_keeps_units_asks_one_other_only(self) -> None:
        async def scenario() -> None:
            self.ways.answers["far-1"] = [(0.003, _GRANTED)]
            answer = await self.desk.ask_address("far-1", "florists", _WISH)
            self.assertTrue(answer.is_admitted)
            self.assertEqual(["far-1"], self.ways.redirected)
            self.assertIsNone(
                await self.desk.ask_address("far-2", "florists", _WISH)
            )

        self._run(scenario)

    def test_a_request_that_waited_in_vain_is_not_held_up_again(self) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [
                (0.003, messages.QuotaVerdict.WAITING)
            ]
            started = trio.current_time()
            answer = await self.desk.ask("florists", _WISH)
            self.assertFalse(answer.is_admitted)
            self.assertAlmostEqual(0.2, trio.current_time() - started)

        self._run(scenario)

    def test_a_keeper_that_waits_for_units_is_not_asked_around(self) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [
                (0.003, messages.QuotaVerdict.WAITING),
                (0.11, _GRANTED),
            ]
            answer = await self.desk.ask("florists", _WISH)
            self.assertTrue(answer.is_admitted)
            self.assertEqual(["hub-1"], self.ways.sent)

        self._run(scenario)

    def test_a_daemon_without_a_part_passes_the_question_on_at_once(
        self,
    ) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [(0.003, _PASSED)]
            self.ways.answers["hub-2"] = [(0.003, _PASSED)]
            self.ways.answers["far-1"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            answer = await self.desk.ask("florists", _WISH)
            self.assertEqual("far-1", answer.kept_at)
            self.assertAlmostEqual(0.009, trio.current_time() - started)

        self._run(scenario)

    def test_another_keepers_refusal_does_not_outrun_the_own_ones_answer(
        self,
    ) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [(0.1, _GRANTED)]
            self.ways.answers["hub-2"] = [(0.003, _REFUSED)]
            answer = await self.desk.ask("florists", _WISH)
            self.assertEqual("hub-1", answer.kept_at)
            self.ways.answers["hub-1"] = []
            answer = await self.desk.ask("florists", _WISH)
            self.assertFalse(answer.is_admitted)

        self._run(scenario)

    def test_the_question_is_put_again_when_all_were_busy(self) -> None:
        async def scenario() -> None:
            async def wake() -> None:
                await trio.sleep(0.25)
                self.ways.answers["hub-2"] = [(0.003, _GRANTED)]

            self.ways.nursery.start_soon(wake)
            answer = await self.desk.ask("florists", _WISH)
            self.assertTrue(answer.is_admitted)

        self._run(scenario)

    def test_a_grant_that_comes_late_is_not_used(self) -> None:
        async def scenario() -> None:
            self.ways.answers["hub-1"] = [(0.25, _GRANTED)]
            started = trio.current_time()
            self.assertIsNone(await self.desk.ask("florists", _WISH))
            # It is put three times, and each grant comes too late.
            self.assertAlmostEqual(0.6, trio.current_time() - started)
            self.assertEqual(["unanswered"] * 3, self.outcomes)

        self._run(scenario)

    def test_a_daemon_that_knows_no_keeper_yet_waits_for_the_first(
        self,
    ) -> None:
        async def scenario() -> None:
            self.ways.keepers = []
            self.ways.answers["hub-1"] = [(0.003, _GRANTED)]

            async def appear() -> None:
                await trio.sleep(0.15)
                self.ways.keepers = ["hub-1"]

            self.ways.nursery.start_soon(appear)
            answer = await self.desk.ask("florists", _WISH)
            self.assertTrue(answer.is_admitted)

        self._run(scenario)
