"""Interactive shell for statements, with history and completion."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prompt_toolkit
import trio
from prompt_toolkit import completion

from martenquay_client import render
from martenquay_core.config import objects
from martenquay_core.language import parser

if TYPE_CHECKING:
    from martenquay_client import connection

__all__ = ["run_shell"]

_COMPLETIONS = [
    "show",
    "why",
    "create",
    "set",
    "drop",
    "where",
    "and",
    "if",
    "version",
    *parser.NOUNS,
    *[kind.value for kind in objects.Kind],
]
_EXIT_COMMANDS = {"exit", "quit"}


async def run_shell(
    daemon: connection.Connection,
    options: connection.StatementOptions,
    *,
    as_json: bool,
) -> int:
    """Read and send statements until exit or end of input.

    Returns:
        The exit code, always 0.
    """
    session: prompt_toolkit.PromptSession[str] = prompt_toolkit.PromptSession(
        completer=completion.WordCompleter(_COMPLETIONS)
    )
    while True:
        try:
            # prompt() runs an asyncio loop and would block the trio loop here.
            text = await trio.to_thread.run_sync(session.prompt, "martenquay> ")
        except (EOFError, KeyboardInterrupt):
            return 0
        if text.strip() in _EXIT_COMMANDS:
            return 0
        if not text.strip():
            continue
        reply = await daemon.send(text, options)
        if reply.is_ok():
            print(render.render_reply(reply.ok, as_json=as_json))
        else:
            print(render.render_failure(reply.error, as_json=as_json))
