"""Quota requests are hedged over the hubs and decided in time."""

from __future__ import annotations

import trio

from martenquay_daemon.allowances import terms
from martenquay_daemon.fleet import messages, quota_client
from tests import clocked

_REQUEST = terms.AdmissionRequest(500.0, 1)
_GRANTED = messages.QuotaVerdict.GRANTED
_REFUSED = messages.QuotaVerdict.REFUSED
_PASSED = messages.QuotaVerdict.PASSED
_REDIRECTED = messages.QuotaVerdict.REDIRECTED


class _FakeTransport:
    """Implement `quota_client.QuotaTransport` with scripted replies of hubs.

    Attributes:
        hubs: Addresses of the hubs.
        replies: Delay in seconds and verdict of each reply, by address.
        asked: Addresses that were asked.
    """

    def __init__(self) -> None:
        self.hubs = ["hub-1", "hub-2", "far-1", "far-2"]
        self.replies: dict[str, list[tuple[float, messages.QuotaVerdict]]] = {}
        self.asked: list[str] = []
        self.holder = ""
        self.unlinked: set[str] = set()
        self.redirected: list[str] = []
        self.nursery: trio.Nursery | None = None
        self.client: quota_client.QuotaClient | None = None

    def holds_own_quota(self) -> bool:
        """Return that only other daemons hold quota."""
        return False

    def list_quota_hubs(self) -> list[str]:
        """Return the hubs to ask."""
        return list(self.hubs)

    def send_to(self, address: str, raw: bytes) -> bool:
        """Schedule the hub's replies."""
        if address in self.unlinked:
            return False
        self.asked.append(address)
        request = messages.decode_message(raw)
        if request.is_redirected:
            self.redirected.append(address)
        for after_s, verdict in self.replies.get(address, []):
            reply = messages.QuotaReply(
                request.number, verdict, 0.6, self.holder, address
            )
            self.nursery.start_soon(self._reply, after_s, address, reply)
        return True

    async def _reply(self, after_s: float, address: str, reply) -> None:
        await trio.sleep(after_s)
        self.client.apply_reply(address, reply)


class QuotaClientTest(clocked.ClockedTestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            self.transport = _FakeTransport()
            self.outcomes: list[str] = []
            self.client = quota_client.QuotaClient(self.transport)
            self.client.observe = lambda outcome, _: self.outcomes.append(
                outcome
            )
            self.transport.client = self.client
            async with trio.open_nursery() as nursery:
                self.transport.nursery = nursery
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def test_only_the_first_hub_is_asked_if_it_replies(self) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [(0.003, _GRANTED)]
            decision = await self.client.ask("florists", _REQUEST)
            self.assertTrue(decision.is_admitted)
            self.assertEqual("hub-1", decision.kept_at)
            self.assertEqual(["hub-1"], self.transport.asked)
            self.assertEqual(["granted"], self.outcomes)

        self._run(scenario)

    def test_the_next_hub_is_asked_when_one_does_not_reply(self) -> None:
        async def scenario() -> None:
            self.transport.replies["far-1"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            decision = await self.client.ask("florists", _REQUEST)
            self.assertEqual(
                (0.0, "far-1"), (decision.retry_s, decision.kept_at)
            )
            self.assertLess(trio.current_time() - started, 0.1)
            # The silent hubs are asked last the next time.
            self.transport.asked.clear()
            await self.client.ask("florists", _REQUEST)
            self.assertEqual(["far-1"], self.transport.asked)

        self._run(scenario)

    def test_a_hub_is_asked_as_soon_as_its_link_is_up(self) -> None:
        async def scenario() -> None:
            self.transport.unlinked = {"far-1", "far-2"}
            self.transport.replies["far-1"] = [(0.003, _GRANTED)]

            async def link() -> None:
                await trio.sleep(0.1)
                self.transport.unlinked = set()

            self.transport.nursery.start_soon(link)
            started = trio.current_time()
            decision = await self.client.ask("florists", _REQUEST)
            self.assertEqual("far-1", decision.kept_at)
            self.assertLess(trio.current_time() - started, 0.12)

        self._run(scenario)

    def test_the_holder_that_a_hub_names_is_asked_next(self) -> None:
        async def scenario() -> None:
            self.transport.holder = "far-2"
            self.transport.replies["hub-1"] = [(0.003, _REDIRECTED)]
            self.transport.replies["far-2"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            decision = await self.client.ask("florists", _REQUEST)
            self.assertEqual("far-2", decision.kept_at)
            self.assertAlmostEqual(0.006, trio.current_time() - started)
            self.assertEqual(["hub-1", "far-2"], self.transport.asked)
            self.assertEqual(["far-2"], self.transport.redirected)
            # A named holder's refusal is final.
            self.transport.replies["far-2"] = [(0.003, _REFUSED)]
            decision = await self.client.ask("florists", _REQUEST)
            self.assertFalse(decision.is_admitted)

        self._run(scenario)

    def test_asking_an_address_asks_no_other_daemon(self) -> None:
        async def scenario() -> None:
            self.transport.replies["far-1"] = [(0.003, _GRANTED)]
            decision = await self.client.ask_address(
                "far-1", "florists", _REQUEST
            )
            self.assertTrue(decision.is_admitted)
            self.assertEqual(["far-1"], self.transport.redirected)
            self.assertIsNone(
                await self.client.ask_address("far-2", "florists", _REQUEST)
            )

        self._run(scenario)

    def test_a_request_that_got_no_units_in_time_is_not_repeated(
        self,
    ) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [
                (0.003, messages.QuotaVerdict.WAITING)
            ]
            started = trio.current_time()
            decision = await self.client.ask("florists", _REQUEST)
            self.assertFalse(decision.is_admitted)
            self.assertAlmostEqual(0.2, trio.current_time() - started)

        self._run(scenario)

    def test_no_other_hub_is_asked_while_one_waits_for_transfers(self) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [
                (0.003, messages.QuotaVerdict.WAITING),
                (0.11, _GRANTED),
            ]
            decision = await self.client.ask("florists", _REQUEST)
            self.assertTrue(decision.is_admitted)
            self.assertEqual(["hub-1"], self.transport.asked)

        self._run(scenario)

    def test_a_hub_without_a_share_is_skipped_at_once(
        self,
    ) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [(0.003, _PASSED)]
            self.transport.replies["hub-2"] = [(0.003, _PASSED)]
            self.transport.replies["far-1"] = [(0.003, _GRANTED)]
            started = trio.current_time()
            decision = await self.client.ask("florists", _REQUEST)
            self.assertEqual("far-1", decision.kept_at)
            self.assertAlmostEqual(0.009, trio.current_time() - started)

        self._run(scenario)

    def test_another_hubs_refusal_does_not_preempt_the_first_hubs_reply(
        self,
    ) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [(0.1, _GRANTED)]
            self.transport.replies["hub-2"] = [(0.003, _REFUSED)]
            decision = await self.client.ask("florists", _REQUEST)
            self.assertEqual("hub-1", decision.kept_at)
            self.transport.replies["hub-1"] = []
            decision = await self.client.ask("florists", _REQUEST)
            self.assertFalse(decision.is_admitted)

        self._run(scenario)

    def test_the_request_is_repeated_when_no_hub_replied(self) -> None:
        async def scenario() -> None:
            async def wake() -> None:
                await trio.sleep(0.25)
                self.transport.replies["hub-2"] = [(0.003, _GRANTED)]

            self.transport.nursery.start_soon(wake)
            decision = await self.client.ask("florists", _REQUEST)
            self.assertTrue(decision.is_admitted)

        self._run(scenario)

    def test_a_late_grant_is_not_used(self) -> None:
        async def scenario() -> None:
            self.transport.replies["hub-1"] = [(0.25, _GRANTED)]
            started = trio.current_time()
            self.assertIsNone(await self.client.ask("florists", _REQUEST))
            # The request is sent three times, and each grant comes too late.
            self.assertAlmostEqual(0.6, trio.current_time() - started)
            self.assertEqual(["unanswered"] * 3, self.outcomes)

        self._run(scenario)

    def test_a_daemon_that_knows_no_hub_yet_waits_for_the_first(
        self,
    ) -> None:
        async def scenario() -> None:
            self.transport.hubs = []
            self.transport.replies["hub-1"] = [(0.003, _GRANTED)]

            async def appear() -> None:
                await trio.sleep(0.15)
                self.transport.hubs = ["hub-1"]

            self.transport.nursery.start_soon(appear)
            decision = await self.client.ask("florists", _REQUEST)
            self.assertTrue(decision.is_admitted)

        self._run(scenario)
