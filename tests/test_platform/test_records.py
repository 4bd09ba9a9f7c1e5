"""Records are decoded into typed values, or rejected with the field's name."""

from __future__ import annotations

import json
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies

from martenquay_core.serving import catalog, runners
from martenquay_platform import records


def _encode_config(**route: Any) -> bytes:
    fields = {
        "Name": "r-1",
        "Host": "Desk.Example",
        "PathPrefix": "/a/",
        "RouteKind": "streaming",
        "TimeoutMs": 8000,
        "SloMs": 1200,
        "Service": "model",
        "MaxAttempts": 2,
        "Resumable": True,
    }
    config = {
        "Version": 7,
        "Routes": [fields | route],
        "Services": [
            {
                "Name": "model",
                "Engine": {"Slots": 128, "KvCapacity": 264479, "Moves": True},
                "Scaling": {
                    "Min": 1,
                    "Max": 3,
                    "BootS": 4.0,
                    "SpotPrice": 0.22,
                    "ZonePrices": {"a": 0.85},
                },
            }
        ],
        "Limits": {"HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [
            {
                "Name": "florists",
                "ApiKeys": ["k"],
                "Unit": "token_stream",
                "UncachedTokens": 200,
                "RatePerS": 46353,
                "Burst": 46353,
            }
        ],
    }
    return json.dumps(config).encode()


_DEEP = b'{"Labels":' + b"[" * 4000


class BoundsTest(testtools.TestCase):
    def test_a_record_that_nests_deeper_than_python_recurses_is_malformed(
        self,
    ) -> None:
        codec = records.create_codec()
        for decode in (
            lambda: codec.decode_catalog(_DEEP),
            lambda: codec.decode_runner("r-1", _DEEP),
            lambda: codec.decode_rollout("rollout/model", _DEEP),
        ):
            self.assertRaises(ValueError, decode)

    def test_an_integer_beyond_the_daemons_messages_is_malformed(self) -> None:
        codec = records.create_codec()
        codec.decode_catalog(b'{"Version":%d}' % 2**53)
        for value in (2**53 + 1, 10**30, -(10**30)):
            raw = b'{"Version":%d}' % value
            self.assertRaises(ValueError, codec.decode_catalog, raw)


class CatalogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = records.create_codec()

    def test_a_configuration_is_decoded_with_its_units(self) -> None:
        decoded = self.codec.decode_catalog(_encode_config())
        route = decoded.routes[0]
        self.assertEqual(7, decoded.version)
        self.assertEqual("desk.example", route.host)
        self.assertEqual(8.0, route.timeout_s)
        self.assertIs(catalog.CallKind.STREAM, route.kind)
        self.assertTrue(route.may_repeat)
        self.assertEqual(3.0, decoded.limits.header_s)
        scaling = decoded.services["model"].scaling
        self.assertEqual(0.22, scaling.reclaimable_price)
        self.assertTrue(decoded.teams[0].counts_tokens)
        self.assertEqual(200, decoded.teams[0].default_tokens)

    def test_an_engine_has_defaults_for_what_moves_need(self) -> None:
        engine = self.decode_engine()
        self.assertTrue(engine.can_move)
        self.assertEqual(18_432, engine.kv_token_bytes)
        self.assertEqual(88_000.0, engine.link_mbps)
        self.assertEqual(5.0, engine.kv_handle_s)

    def test_what_moves_need_is_decoded(self) -> None:
        engine = self.decode_engine(
            KvBytes=9_216, LinkMbps=550_000, KvHandleS=3.5
        )
        self.assertEqual(9_216, engine.kv_token_bytes)
        self.assertEqual(550_000.0, engine.link_mbps)
        self.assertEqual(3.5, engine.kv_handle_s)

    def test_a_link_without_bandwidth_is_rejected(self) -> None:
        # The plan divides by it.
        for field in ("KvBytes", "LinkMbps", "KvHandleS"):
            error = self.assertRaises(
                ValueError, self.decode_engine, **{field: 0}
            )
            self.assertIn("Engine", str(error))

    def decode_engine(self, **changes: float) -> catalog.EngineTraits:
        config = json.loads(_encode_config())
        config["Services"][0]["Engine"] |= changes
        raw = json.dumps(config).encode()
        decoded = self.codec.decode_catalog(raw)
        return decoded.services["model"].engine

    def test_a_split_replaces_the_service(self) -> None:
        split = [
            {"Service": "old", "Weight": 90},
            {"Service": "new", "Weight": 10},
        ]
        decoded = self.codec.decode_catalog(
            _encode_config(Service="", Split=split)
        )
        services = [d.service for d in decoded.routes[0].destinations]
        self.assertEqual(["old", "new"], services)

    def test_the_error_of_an_unknown_kind_names_route_and_kind(self) -> None:
        raw = _encode_config(RouteKind="sometimes")
        error = self.assertRaises(ValueError, self.codec.decode_catalog, raw)
        self.assertIn("r-1", str(error))
        self.assertIn("sometimes", str(error))

    def test_the_error_of_a_missing_field_names_it(self) -> None:
        raw = b'{"Version":7,"Routes":[{"Host":"a"}]}'
        error = self.assertRaises(ValueError, self.codec.decode_catalog, raw)
        self.assertIn("PathPrefix", str(error))

    def test_an_unknown_field_is_ignored(self) -> None:
        decoded = self.codec.decode_catalog(b'{"Version":7,"New":1}')
        self.assertEqual(7, decoded.version)


def _build_entry(**changes: Any) -> dict[str, Any]:
    fields = {
        "Service": "model",
        "Addr": "10.0.0.1:8080",
        "Zone": "a",
        "Version": "v1",
        "Slots": 128,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 4,
    }
    return fields | changes


def _decode(fields: object) -> runners.Runner:
    raw = json.dumps(fields).encode()
    return records.create_codec().decode_runner("i-1", raw)


_REQUIRED = sorted(_build_entry())
_TYPED = [*_REQUIRED, "Spot", "leaves_ms", "born"]
# Not valid for any field of an entry, but for `leaves_ms`, which may be null.
_FOREIGN_VALUES = (None, [], {}, [1], {"a": 1})


class RunnerTest(testtools.TestCase):
    def test_the_entry_of_a_reclaimed_runner_holds_its_remaining_time(
        self,
    ) -> None:
        runner = _decode(
            _build_entry(State="draining", Spot=True, leaves_ms=2400)
        )
        self.assertTrue(runner.is_leaving)
        self.assertTrue(runner.is_reclaimable)
        self.assertEqual(2.4, runner.leaves_in_s)

    def test_an_entry_holds_the_start_time_of_its_process(self) -> None:
        born_ms = 1_795_000_000_123
        self.assertEqual(born_ms, _decode(_build_entry(born=born_ms)).born_ms)
        self.assertIsNone(_decode(_build_entry()).born_ms)

    def test_an_invalid_process_start_time_is_rejected(self) -> None:
        for born in (1.5, 1e12, "1795000000123", True, -1):
            entry = _build_entry(born=born)
            error = self.assertRaises(ValueError, _decode, entry)
            self.assertIn("born", str(error))

    def test_an_id_that_no_header_can_hold_is_rejected(self) -> None:
        raw = json.dumps(_build_entry()).encode()
        codec = records.create_codec()
        for key in ("", " a", "a b", "a\n", "a\x00", "\u00fc", "\u20ac"):
            error = self.assertRaises(ValueError, codec.decode_runner, key, raw)
            self.assertIn("key", str(error))
        for key in ("i-7f3a91c2", "zone/pod:7_a.b"):
            self.assertEqual(key, codec.decode_runner(key, raw).id)

    def test_an_unknown_state_is_rejected(self) -> None:
        for state in ("", "Ready", "READY", "booting", "gone"):
            entry = _build_entry(State=state)
            error = self.assertRaises(ValueError, _decode, entry)
            self.assertIn("State", str(error))

    def test_an_invalid_address_is_rejected(self) -> None:
        for address in (
            *("", ":", "10.0.0.1", "10.0.0.1:", ":80", "h:0", "h:x"),
            *("h:65536", "h:-1", "h: 1", "h:\u0663", "h:" + "9" * 5000),
            *("\u00fc..x:80", "a..b:80", "a\x00b:80", "a b:80", "a/b:80"),
            *("x" * 64 + ":80", "x." * 150 + "x:80", "a\n:80"),
        ):
            entry = _build_entry(Addr=address)
            error = self.assertRaises(ValueError, _decode, entry)
            self.assertIn("Addr", str(error))

    def test_addresses_and_names_of_hosts_are_valid(self) -> None:
        for host in ("10.0.0.1", "localhost", "engine-1.zone_a.example"):
            for port in (1, 80, 65_535):
                address = f"{host}:{port}"
                entry = _build_entry(Addr=address)
                self.assertEqual(address, _decode(entry).address)

    def test_an_entry_without_slots_service_or_zone_is_rejected(self) -> None:
        for change in ({"Slots": 0}, {"Service": ""}, {"Zone": ""}):
            self.assertRaises(ValueError, _decode, _build_entry(**change))

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(missing=strategies.sampled_from(_REQUIRED))
    def test_an_entry_that_lacks_a_field_names_no_runner(
        self, missing: str
    ) -> None:
        entry = _build_entry()
        del entry[missing]
        error = self.assertRaises(ValueError, _decode, entry)
        self.assertIn(missing, str(error))

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(
        field=strategies.sampled_from(_TYPED),
        value=strategies.sampled_from(_FOREIGN_VALUES),
    )
    def test_a_field_of_another_type_names_no_runner(
        self, field: str, value: object
    ) -> None:
        # A runner without a known end may write null.
        hypothesis.assume(not (field == "leaves_ms" and value is None))
        entry = _build_entry(**{field: value})
        self.assertRaises(ValueError, _decode, entry)

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(raw=strategies.binary(max_size=64))
    def test_bytes_that_cannot_be_read_name_no_runner(self, raw: bytes) -> None:
        codec = records.create_codec()
        self.assertRaises(ValueError, codec.decode_runner, "i-1", raw)
        self.assertRaises(ValueError, codec.decode_catalog, raw)
