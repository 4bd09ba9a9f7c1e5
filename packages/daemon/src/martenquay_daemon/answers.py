"""Dispatch requests of other daemons to the parts that answer them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.peers import messages

if TYPE_CHECKING:
    from martenquay_daemon.claims import manager as claim_manager
    from martenquay_daemon.configuration import store
    from martenquay_daemon.deferrable import manager as deferrable_manager
    from martenquay_daemon.operators import queries

__all__ = ["PeerRequestHandler"]


class PeerRequestHandler:
    """Answers the requests that arrive over links from other daemons."""

    def __init__(self) -> None:
        self._config: store.ConfigStore | None = None
        self._claims: claim_manager.ClaimManager | None = None
        self._deferrable: deferrable_manager.DeferrableManager | None = None
        self._queries: queries.QueryHandler | None = None

    def connect(
        self,
        config: store.ConfigStore,
        claims: claim_manager.ClaimManager,
        deferrable: deferrable_manager.DeferrableManager,
        query_handler: queries.QueryHandler,
    ) -> None:
        """Set the parts; until then each request is answered as unavailable."""
        self._config = config
        self._claims = claims
        self._deferrable = deferrable
        self._queries = query_handler

    async def answer(self, message: messages.Message) -> messages.Message:
        """Return the reply to a request."""
        if (
            self._config is None
            or self._claims is None
            or self._deferrable is None
            or self._queries is None
        ):
            return messages.Unavailable("starting")
        match message:
            case messages.FetchConfig(from_offset=from_offset):
                return self._config.serve_peer(from_offset)
            case messages.WaitApplied(offset=offset, wait_s=wait_s):
                return await self._config.wait_applied(offset, wait_s)
            case messages.SettleClaim():
                return await self._claims.settle_for_peer(message)
            case messages.WaitOutcome():
                return await self._claims.wait_for_peer(message)
            case messages.ReportOutcome():
                return await self._claims.append_for_peer(message)
            case messages.FetchAnswer():
                return await self._deferrable.fetch_for_peer(message)
            case messages.FetchRows():
                return self._queries.answer_peer(message)
            case _:
                return messages.Unavailable("not a question")
