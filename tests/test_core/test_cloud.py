"""A cloud order starts one instance, even if its answer is lost."""

from __future__ import annotations

from typing import Any
from unittest import mock

from expression import Ok

from martenquay_core.platform import cloud, outcome
from martenquay_core.util import http
from martenquay_standins import cloud as cloud_stand_in
from martenquay_standins import engine, host
from tests import scenarios

_Class = cloud.MachineClass
_PRICES = [
    cloud.Price("serra-a", _Class.RECLAIMABLE, 0.3),
    cloud.Price("serra-a", _Class.ON_DEMAND, 1.0),
]


def _order(**changes: Any) -> cloud.InstanceOrder:
    fields: dict[str, Any] = {
        "order_id": "order-1",
        "partner": "serrana",
        "pool": "reviews",
        "zone": "serra-a",
        "machine_class": _Class.RECLAIMABLE,
    }
    return cloud.InstanceOrder(**(fields | changes))


class CloudClientTest(scenarios.ScenarioTestCase):
    def _run(self, scenario) -> None:
        async def start(scene: scenarios.Scene) -> None:
            async def launch(name: str, order: cloud.InstanceOrder) -> str:
                del name, order
                app = engine.EngineStandIn(engine.EngineShape())
                return (await host.start_stand_in(scene.nursery, app)).address

            app = cloud_stand_in.CloudStandIn(
                scene.world.instances, launch, _PRICES
            )
            running = await host.start_stand_in(scene.nursery, app)
            async with http.open_client() as client:
                url = f"http://{running.address}"
                await scenario(scene, app, cloud.create_client(client, url))

        self.run_scene(start)

    def test_an_order_repeated_after_a_lost_answer_starts_no_second(self):
        async def scenario(scene, app, client) -> None:
            del scene
            app.set_faults({"lose_answers": 1})
            lost = await client.start_instance(_order())
            self.assertEqual(outcome.Effect.UNKNOWN, lost.error.effect)
            repeated = await client.start_instance(_order())
            self.assertEqual(1, len(app.started))
            self.assertEqual(app.started["order-1"], repeated.ok.name)

        self._run(scenario)

    def test_a_malformed_answer_has_an_unknown_effect(self):
        async def scenario(scene, app, client) -> None:
            del scene, app, client
            malformed = http.Answer(200, [], b'{"name": 1}')
            http_client = mock.Mock(
                call=mock.AsyncMock(return_value=Ok(malformed))
            )
            cloud_client = cloud.create_client(http_client, "http://cloud")
            failed = await cloud_client.start_instance(_order())
            self.assertEqual(outcome.Effect.UNKNOWN, failed.error.effect)

        self._run(scenario)

    def test_a_refused_order_starts_no_instance(self):
        async def scenario(scene, app, client) -> None:
            del scene
            app.set_faults({"refused_classes": ["reclaimable"]})
            refused = await client.start_instance(_order())
            self.assertEqual(outcome.Effect.NOT_DONE, refused.error.effect)
            self.assertEqual({}, app.started)
            other = _order(order_id="order-2", machine_class=_Class.ON_DEMAND)
            self.assertTrue((await client.start_instance(other)).is_ok())

        self._run(scenario)

    def test_a_started_instance_serves_and_a_stopped_one_leaves_the_list(self):
        async def scenario(scene, app, client) -> None:
            del app
            daemon = (await scene.start_daemons(scene.world.plans[0], 1))[0]
            name = (await client.start_instance(_order())).ok.name

            async def is_served() -> bool:
                reply = await scene.caller.chat(daemon)
                return reply.status == 200

            await scene.wait_until(is_served)
            rows = await scene.list_rows(daemon, f"show runners {name}")
            self.assertEqual(0.3, rows[0]["price"])
            self.assertTrue((await client.stop_instance(name)).is_ok())

            async def is_gone() -> bool:
                return not await scene.list_rows(daemon, "show runners")

            await scene.wait_until(is_gone)
            self.assertEqual(_PRICES, (await client.list_prices()).ok)

        self._run(scenario)
