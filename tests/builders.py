"""Build configuration records, fleet messages and settings for tests."""

from __future__ import annotations

import dataclasses
from typing import Any

from martenquay_core.config import fold, objects, records
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_standins import loopback

__all__ = [
    "Partners",
    "build_change",
    "build_member",
    "build_partners",
    "build_runner",
    "build_settings",
]


@dataclasses.dataclass(frozen=True)
class Partners:
    """Signers of both partners and their verifier.

    Attributes:
        serrana: Signer of partner Serrana.
        lindqvist: Signer of partner Lindqvist.
        verifier: Verifies signatures of both partners.
    """

    serrana: records.Signer
    lindqvist: records.Signer
    verifier: records.Verifier

    def start_state(self) -> fold.ConfigState:
        """Return the configuration state before the first record."""
        return fold.create_state(["serrana", "lindqvist"])


def build_partners() -> Partners:
    """Return the signers of both partners, with fixed keys."""
    keys = {"serrana": "11" * 32, "lindqvist": "22" * 32}
    signers = {
        name: records.create_signer(name, key) for name, key in keys.items()
    }
    publics = {
        name: signer.key.public_key().public_bytes_raw().hex()
        for name, signer in signers.items()
    }
    return Partners(
        signers["serrana"],
        signers["lindqvist"],
        records.create_verifier(publics),
    )


def build_change(**changes: Any) -> records.Change:
    """Return a change that creates a pool, with some fields replaced."""
    fields: dict[str, Any] = {
        "partner": "serrana",
        "operator": "ines",
        "change_id": "change-1",
        "key_partner": "serrana",
        "kind": objects.Kind.POOL,
        "name": "reviews",
        "base_version": 0,
        "fields": {"kind": "model"},
    }
    return records.Change(**(fields | changes))


def build_member(**changes: Any) -> messages.MemberUpdate:
    """Return the membership update of a live daemon, with fields replaced."""
    fields: dict[str, Any] = {
        "member": "entry-1.aa",
        "partner": "serrana",
        "zone": "serra-a",
        "address": "127.0.0.1:7001",
    }
    return messages.MemberUpdate(**(fields | changes))


def build_runner(**changes: Any) -> instances.Instance:
    """Return a live model runner, with some fields replaced."""
    fields: dict[str, Any] = {
        "name": "model-1",
        "kind": instances.InstanceKind.RUNNER,
        "partner": "serrana",
        "zone": "serra-a",
        "address": "127.0.0.1:9001",
        "pool": "reviews",
    }
    return instances.Instance(**(fields | changes))


def build_settings(**changes: Any) -> dict[str, Any]:
    """Return the content of a valid settings file, with sections replaced."""
    settings: dict[str, Any] = {
        "partner": "serrana",
        "zone": "serra-a",
        "instance": "entry-1",
        "listen": {
            "callers": loopback.create_address(),
            "operators": loopback.create_address(),
            "peers": loopback.create_address(),
        },
        "platform": {
            "log": "http://127.0.0.1:9000",
            "instances": "http://127.0.0.1:9001",
        },
        "partners": [
            {
                "name": "serrana",
                "zones": ["serra-a", "serra-b"],
                "public_key": "ab" * 32,
            }
        ],
        "signing_key": "cd" * 32,
    }
    return settings | changes
