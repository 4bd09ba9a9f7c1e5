"""Guard against rollouts that are decided twice or stall on a failover."""

from __future__ import annotations

import trio

from martenquay_core.serving import ports
from martenquay_daemon.discovery import (
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.duties import lease
from martenquay_daemon.engines import loads
from martenquay_daemon.fleet import view
from martenquay_daemon.rollouts import controller, records, registry, tallies
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_TOPICS = builders.TOPICS


class _Daemon:
    """The rollout controller of one daemon, with its lease and followers."""

    def __init__(self, name: str, platform: log.MemoryLog) -> None:
        self.log = platform
        self.registry = registry.RolloutRegistry()
        self.trials = tallies.TallyTable()
        self.ledger = loads.LoadLedger()
        codec = builders.FakeRecords()
        log_contact = contact.LogContact()
        self.directory = runner_directory.RunnerDirectory(codec, log_contact)
        for number, software in enumerate(("v1", "v1", "v2")):
            value = b"%d" % number
            codec.runners[value] = builders.build_runner(
                id=f"r-{number}",
                service="model",
                software=software,
                address=f"127.0.0.1:{number}",
            )
            self.directory.apply_change(
                ports.KeyedRecord(number, f"r-{number}", value)
            )
        self.orders = keyed_follower.KeyedFollower(
            platform,
            log_contact,
            _TOPICS.catalog,
            records.OrderSink(codec, self.registry),
            keyed_follower.ReadSchedule(wait_s=2.0),
        )
        self.follower = keyed_follower.KeyedFollower(
            platform,
            log_contact,
            _TOPICS.rollouts,
            records.StepSink(self.registry),
            keyed_follower.ReadSchedule(wait_s=2.0),
        )
        self.lease = lease.create_lease(
            platform, "lease", f"{name}.aa", name, 3.0, view.FleetView(name)
        )
        self.controller = controller.RolloutController(
            controller.RolloutParts(
                log=platform,
                topics=_TOPICS,
                codec=codec,
                follower=self.follower,
                lease=self.lease,
                orders=self.registry,
                trials=self.trials,
                directory=self.directory,
                ledger=self.ledger,
            ),
            lambda: 1000.0 + trio.current_time(),
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.orders.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self.controller.run)

    def record_answers(self, count: int, *, failures: int = 0) -> None:
        """Record answers of the new version, and as many of the old one."""
        for number in range(count):
            latency_s = None if number < failures else 0.2
            self.trials.note("model", 0, "r", latency_s, is_new=True)
            self.trials.note("model", 0, "r", 0.2, is_new=False)


class RolloutControllerTest(clocked.ClockedTestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            self.log = log.MemoryLog()
            async with trio.open_nursery() as nursery:
                await scenario(nursery)
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def _order(self, version: str = "v2", duration_s: float = 12.0) -> None:
        value = f"model {version} {duration_s}".encode()
        self.log.put(_TOPICS.catalog, "rollout/model", value)

    async def _follow_order(self, nursery: trio.Nursery) -> _Daemon:
        """Return a daemon that follows an order, in its canary phase."""
        one = _Daemon("entry-1", self.log)
        nursery.start_soon(one.run)
        self._order()
        await trio.sleep(5.0)
        return one

    async def _list_status(self) -> list[str]:
        page = await self.log.read(_TOPICS.status, 0)
        found = [
            self.log.split_keyed(payload, offset)
            for offset, payload in enumerate(page.ok.records)
        ]
        return [record.value.decode() for record in found]

    def test_a_good_version_is_completed_in_time(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = await self._follow_order(nursery)
            one.record_answers(40)
            await trio.sleep(7.0)
            statuses = await self._list_status()
            self.assertEqual(["v2 in_progress", "v2 completed"], statuses)

        self._run(scenario)

    def test_a_bad_version_is_rolled_back_as_soon_as_it_shows(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = await self._follow_order(nursery)
            one.record_answers(20, failures=10)
            await trio.sleep(1.0)
            statuses = await self._list_status()
            self.assertEqual(["v2 in_progress", "v2 rolled_back"], statuses)

        self._run(scenario)

    def test_requests_at_old_runners_delay_completion(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = await self._follow_order(nursery)
            one.record_answers(40)
            with one.ledger.count("r-0", 100):
                await trio.sleep(5.8)
                self.assertIs(
                    registry.Phase.SWITCHING, one.registry.find("model").phase
                )
            await trio.sleep(0.5)
            self.assertIs(
                registry.Phase.COMPLETED, one.registry.find("model").phase
            )

        self._run(scenario)

    def test_a_successor_resumes_the_rollout(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            first = _Daemon("entry-1", self.log)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as inner:
                    inner.start_soon(first.run)
                    self._order()
                    await trio.sleep(8.0)
                    # The holder stops without releasing the lease; its tallies
                    # are lost.
                    scope.cancel()
            second = _Daemon("entry-2", self.log)
            second.record_answers(40)
            nursery.start_soon(second.run)
            # The lease must expire first.
            await trio.sleep(6.0)
            statuses = await self._list_status()
            self.assertEqual(["v2 in_progress", "v2 completed"], statuses)

        self._run(scenario)

    def test_a_successor_publishes_and_keeps_the_decision(
        self,
    ) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            first = _Daemon("entry-1", self.log)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as inner:
                    inner.start_soon(first.run)
                    self._order()
                    await trio.sleep(5.0)
                    first.record_answers(20, failures=20)
                    while first.registry.has_open():
                        await trio.sleep(0.01)
                    # Stop between the decision and its publication.
                    scope.cancel()
            self.assertEqual(["v2 in_progress"], await self._list_status())
            second = _Daemon("entry-2", self.log)
            second.record_answers(60)
            nursery.start_soon(second.run)
            await trio.sleep(15.0)
            statuses = await self._list_status()
            self.assertEqual(["v2 in_progress", "v2 rolled_back"], statuses)

        self._run(scenario)

    def test_a_second_order_replaces_the_first(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = _Daemon("entry-1", self.log)
            nursery.start_soon(one.run)
            self._order("v2")
            await trio.sleep(3.0)
            self._order("v3", 6.0)
            await trio.sleep(8.0)
            # No runner of v3 was ever listed.
            statuses = await self._list_status()
            self.assertEqual(
                ["v2 in_progress", "v3 in_progress", "v3 rolled_back"], statuses
            )
            self.assertEqual({"v2", "v3"}, one.registry.find_refused("model"))

        self._run(scenario)

    def test_lost_append_answers_do_not_repeat_a_step(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = await self._follow_order(nursery)
            one.record_answers(20, failures=20)
            self.log.faults.lost_answers = 2
            await trio.sleep(4.0)
            statuses = await self._list_status()
            self.assertEqual("v2 rolled_back", statuses[-1])
            steps = await self.log.read(_TOPICS.rollouts, 0)
            self.assertEqual(2, len(steps.ok.records))

        self._run(scenario)

    def test_a_holder_that_has_lost_its_lease_writes_nothing(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            one = await self._follow_order(nursery)
            await one.lease.release()
            one.record_answers(20, failures=20)
            await trio.sleep(0.5)
            if not one.lease.is_held():
                self.assertEqual(["v2 in_progress"], await self._list_status())

        self._run(scenario)
