"""Test environment on loopback: platform, runners and daemons."""

from __future__ import annotations

import json
import sys
import tempfile
from typing import Any

import trio

from martenquay_core.config import records
from martenquay_core.platform import instances
from martenquay_core.settings import models
from martenquay_core.util import credentials
from martenquay_daemon import daemon
from martenquay_standins import (
    engine,
    host,
    log,
    loopback,
    network,
    partners,
    running,
    service,
    zone_view,
)
from martenquay_standins import instances as instance_list

__all__ = ["World"]


_FAST_TIMING = {
    "heartbeat_s": 0.1,
    "suspect_after_s": 0.4,
    "dead_after_s": 0.6,
    "list_poll_s": 0.1,
    "load_poll_s": 0.1,
    "commit_s": 0.002,
    "log_timeout_s": 1.0,
    "drain_notice_s": 0.1,
    "drain_limit_s": 30.0,
}


class World:
    """Fake platform and runners, and the daemons that use them.

    Attributes:
        plans: The partners with their zones and pools.
        log: The log service.
        instances: The instance list.
        runners: The running fake runners by name.
        network: Simulates partitions between zones; None without network.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        *,
        with_network: bool = False,
        plans: tuple[partners.PartnerPlan, ...] = (
            partners.SERRANA,
            partners.LINDQVIST,
        ),
        retention_s: float = 3600.0,
    ) -> None:
        self.plans = plans
        self.log = log.LogStandIn(retention_s)
        self.instances = instance_list.InstanceListStandIn()
        self.runners: dict[str, host.RunningStandIn] = {}
        self.network = network.Network(nursery) if with_network else None
        self._retention_s = retention_s
        self._nursery = nursery
        self._keys = {plan.name: records.generate_key() for plan in plans}
        self._log_address = ""
        self._list_address = ""
        self._zone_lists: dict[str, str] = {}
        self._change_count = 0
        self._processes: list[trio.Process] = []

    async def start_platform(self) -> None:
        """Start the log service and the instance list."""
        running = await host.start_stand_in(self._nursery, self.log)
        self._log_address = running.address
        listed = await host.start_stand_in(self._nursery, self.instances)
        self._list_address = listed.address

    def signer(self, partner: str) -> records.Signer:
        """Return the signer of a partner's configuration records."""
        return records.create_signer(partner, self._keys[partner][0])

    def verifier(self) -> records.Verifier:
        """Return a verifier of all partners' signatures."""
        return records.create_verifier(
            {name: public for name, (_, public) in self._keys.items()}
        )

    def put_object(
        self, partner: str, kind: str, name: str, /, **fields: Any
    ) -> int:
        """Append a configuration object to the log as its first version.

        Returns:
            The offset of its record.
        """
        self._change_count += 1
        change = records.Change(
            partner,
            "setup",
            f"setup-{self._change_count}",
            partner,
            records.objects.Kind(kind),
            name,
            0,
            fields,
        )
        payload = records.encode_change(change, self.signer(partner))
        return self.log.add("config", [payload])

    def put_standard_config(self) -> None:
        """Append the teams, pools and routes of each partner to the log."""
        for plan in self.plans:
            for team in ("counter", "workshops"):
                self.put_object(
                    plan.name,
                    "team",
                    team,
                    credential=credentials.digest_credential(
                        f"{plan.name}-{team}"
                    ),
                    concurrency=1000,
                    token_rate=10_000_000.0,
                )
            self.put_object(plan.name, "pool", plan.model_pool, kind="model")
            self.put_object(
                plan.name, "pool", plan.service_pool, kind="service"
            )
            self.put_object(plan.name, "route", "chat", pool=plan.model_pool)
            self.put_object(
                plan.name,
                "route",
                "review",
                pool=plan.model_pool,
                urgency="deferrable",
                deadline_s=600.0,
            )
            self.put_object(
                plan.name,
                "route",
                "status",
                pool=plan.service_pool,
                urgency="urgent",
                deadline_s=5.0,
            )
            self.put_object(
                plan.name,
                "route",
                "booking",
                pool=plan.service_pool,
                urgency="urgent",
                repeatable=False,
                deadline_s=5.0,
            )

    async def add_engine(
        self,
        plan: partners.PartnerPlan,
        zone: str,
        name: str,
        shape: engine.EngineShape | None = None,
        **fields: Any,
    ) -> engine.EngineStandIn:
        """Start a fake engine and add it to the instance list."""
        app = engine.EngineStandIn(shape or engine.EngineShape())
        await self._add_runner(app, plan, zone, name, plan.model_pool, fields)
        return app

    async def add_service(
        self, plan: partners.PartnerPlan, zone: str, name: str, **fields: Any
    ) -> service.ServiceStandIn:
        """Start a fake backend server and add it to the instance list."""
        app = service.ServiceStandIn(name)
        await self._add_runner(app, plan, zone, name, plan.service_pool, fields)
        return app

    def build_settings(
        self,
        plan: partners.PartnerPlan,
        zone: str,
        instance: str,
        **sections: Any,
    ) -> dict[str, Any]:
        """Return daemon settings with short timeouts.

        `sections` replace whole sections; those of `timing` are merged.
        """
        timing = _FAST_TIMING | sections.pop("timing", {})
        return {
            "partner": plan.name,
            "zone": zone,
            "instance": instance,
            "listen": {
                "callers": loopback.create_address(),
                "operators": loopback.create_address(),
                "peers": loopback.create_address(),
            },
            "platform": {
                "log": f"http://{self._log_address}",
                "instances": f"http://{self._list_address}",
                "log_retention_s": self._retention_s,
            },
            "partners": [
                {
                    "name": other.name,
                    "zones": list(other.zones),
                    "public_key": self._keys[other.name][1],
                }
                for other in self.plans
            ],
            "signing_key": self._keys[plan.name][0],
            "operators": [
                {
                    "name": f"{plan.name}-op",
                    "credential": credentials.digest_credential(
                        plan.operator_credential
                    ),
                }
            ],
            "timing": timing,
            **sections,
        }

    async def start_daemon(
        self,
        plan: partners.PartnerPlan,
        zone: str,
        instance: str,
        **sections: Any,
    ) -> running.LocalDaemon:
        """Start a daemon in this process and add it to the instance list."""
        content = self.build_settings(plan, zone, instance, **sections)
        await self._route_through_network(content, zone)
        settings = models.DaemonSettings.model_validate(content)
        process = daemon.Daemon(settings)
        scope = trio.CancelScope()
        ended = trio.Event()

        async def run(*, task_status: trio.TaskStatus[Any]) -> None:
            try:
                with scope:
                    await process.run(task_status=task_status)
            finally:
                ended.set()

        addresses = await self._nursery.start(run)
        self._list_daemon(plan, zone, instance, addresses.peers)
        return running.LocalDaemon(process, addresses, scope, ended)

    async def start_process(
        self,
        plan: partners.PartnerPlan,
        zone: str,
        instance: str,
        *,
        log_file: Any = None,
        **sections: Any,
    ) -> running.DaemonProcess:
        """Start a daemon as a subprocess and add it to the instance list."""
        content = self.build_settings(plan, zone, instance, **sections)
        await self._route_through_network(content, zone)
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
            json.dump(content, file)
            file.flush()
            process = await trio.lowlevel.open_process(
                [
                    sys.executable,
                    "-m",
                    "martenquay_daemon",
                    f"--settings={file.name}",
                ],
                stdout=-1,
                stderr=log_file or -3,
            )
            self._processes.append(process)
            line = await _read_first_line(process)
        fields = json.loads(line)
        addresses = daemon.Addresses(
            fields["callers"], fields["operators"], fields["peers"]
        )
        self._list_daemon(plan, zone, instance, addresses.peers)
        return running.DaemonProcess(process, addresses, fields["member"])

    def end_processes(self) -> None:
        """Kill the daemon processes that are still running."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    def _list_daemon(
        self, plan: partners.PartnerPlan, zone: str, instance: str, address: str
    ) -> None:
        self.instances.put(
            instances.Instance(
                name=instance,
                kind=instances.InstanceKind.ENTRY,
                partner=plan.name,
                zone=zone,
                address=address,
            )
        )

    async def _add_runner(
        self,
        app: Any,
        plan: partners.PartnerPlan,
        zone: str,
        name: str,
        pool: str,
        fields: dict[str, Any],
    ) -> None:
        running = await host.start_stand_in(self._nursery, app)
        self.runners[name] = running
        self.instances.put(
            instances.Instance(
                name=name,
                kind=instances.InstanceKind.RUNNER,
                partner=plan.name,
                zone=zone,
                address=running.address,
                pool=pool,
                **fields,
            )
        )

    async def _route_through_network(
        self, content: dict[str, Any], zone: str
    ) -> None:
        if self.network is None:
            return
        platform = content["platform"]
        log_address = await self.network.link(
            zone, network.PLATFORM, self._log_address
        )
        platform["log"] = f"http://{log_address}"
        if zone not in self._zone_lists:
            view = zone_view.ZoneView(self.instances, self.network, zone)
            running = await host.start_stand_in(self._nursery, view)
            self._zone_lists[zone] = await self.network.link(
                zone, network.PLATFORM, running.address
            )
        platform["instances"] = f"http://{self._zone_lists[zone]}"


async def _read_first_line(process: trio.Process) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        data = await process.stdout.receive_some(4096)
        if not data:
            raise RuntimeError(
                "the daemon exited before it printed its addresses"
            )
        line += data
    return line
