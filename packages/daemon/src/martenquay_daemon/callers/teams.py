"""Authenticate teams by their bearer credentials."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.config import objects
from martenquay_core.util import credentials

if TYPE_CHECKING:
    from martenquay_daemon.configuration import store

__all__ = ["KnownTeam", "TeamDirectory"]

_BEARER = "Bearer "


@dataclasses.dataclass(frozen=True)
class KnownTeam:
    """A configured team.

    Attributes:
        name: Name of the team.
        team: Its configuration, with its limits.
    """

    name: str
    team: objects.Team


class TeamDirectory:
    """Teams of one partner, by the digests of their credentials."""

    def __init__(self, config: store.ConfigStore, partner: str) -> None:
        self._config = config
        self._partner = partner
        self._offset = -1
        self._by_digest: dict[str, KnownTeam] = {}

    def find(self, authorization: str | None) -> KnownTeam | None:
        """Return the team of an authorization header, or None."""
        if authorization is None or not authorization.startswith(_BEARER):
            return None
        if self._offset != self._config.applied.value:
            self._rebuild()
        # Looking up a digest leaks no part of the credential by its timing.
        credential = authorization.removeprefix(_BEARER)
        return self._by_digest.get(credentials.digest_credential(credential))

    def find_by_name(self, name: str) -> KnownTeam | None:
        """Return a team by its name, or None."""
        team = self._config.find_team(self._partner, name)
        return KnownTeam(name, team) if team else None

    def _rebuild(self) -> None:
        self._offset = self._config.applied.value
        teams = self._config.list_objects(self._partner, objects.Kind.TEAM)
        self._by_digest = {
            team.credential: KnownTeam(name, team)
            for name, team in teams
            if isinstance(team, objects.Team)
        }
