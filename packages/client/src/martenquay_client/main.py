"""Entry point and subcommands of the `martenquay` command line."""

from __future__ import annotations

import os
import secrets
import sys
from typing import TYPE_CHECKING

import trio
from absl import app, flags

from martenquay_client import connection, render, shell, trace
from martenquay_core import results
from martenquay_core.config import records
from martenquay_core.settings import gateway, models, reader
from martenquay_core.util import credentials, http

if TYPE_CHECKING:
    import pydantic

__all__ = ["start"]

_DAEMON = flags.DEFINE_string(
    "daemon", "127.0.0.1:8081", "Address of a daemon's operator interface."
)
_JSON = flags.DEFINE_bool("json", False, "Write JSON instead of tables.")
_WAIT = flags.DEFINE_bool(
    "wait", False, "Wait until a change is in force in every zone."
)
_CHANGE_ID = flags.DEFINE_string(
    "change_id", "", "Name of the change; give the same one to send it again."
)
_INTERVAL_S = flags.DEFINE_float(
    "every", 2.0, "Seconds between two readings of `watch`.", lower_bound=0.1
)
_REPLY_COUNT = flags.DEFINE_integer(
    "count", 0, "Readings of `watch`; 0 for no end.", lower_bound=0
)

_CREDENTIAL_VARIABLE = "MARTENQUAY_CREDENTIAL"
_EXIT_USAGE = 2
_USAGE = """usage: martenquay [flags] COMMAND

  STATEMENT               one query or command, such as: show runners
  shell                   statements one after the other
  status                  daemons and the configuration in force
  watch STATEMENT         a query again and again
  check-settings FILE     say what is wrong with a daemon's settings
  check-platform-settings FILE
                          the same for a daemon that serves on a platform
  trace REQUEST FILE...   what log files say of a request, oldest line first
  digest CREDENTIAL       the digest to put into settings or a team
  new-key                 a partner's signing key and public key

The operator's credential is read from MARTENQUAY_CREDENTIAL.
"""


def start() -> None:
    """Run the command line and exit with its exit code."""
    app.run(_run)


def _run(argv: list[str]) -> int:
    match argv[1:]:
        case []:
            print(_USAGE, file=sys.stderr)
            return _EXIT_USAGE
        case ["check-settings", path]:
            return _check_settings(path, models.DaemonSettings)
        case ["check-platform-settings", path]:
            return _check_settings(path, gateway.GatewaySettings)
        case ["trace", request, *paths] if paths:
            return _trace(request, paths)
        case ["digest", credential]:
            print(credentials.digest_credential(credential))
            return 0
        case ["new-key"]:
            private, public = records.generate_key()
            print(f"signing_key {private}\npublic_key  {public}")
            return 0
        case arguments:
            return trio.run(_run_statements, arguments)


def _trace(request: str, paths: list[str]) -> int:
    try:
        lines = trace.find_lines(request, paths)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return _EXIT_USAGE
    if not lines:
        print(f"no line of request {request}", file=sys.stderr)
        return _EXIT_USAGE
    for line in lines:
        print(trace.render_line(line, lines[0].at))
    return 0


def _check_settings(path: str, model: type[pydantic.BaseModel]) -> int:
    settings = reader.read_settings(path, model)
    if settings.is_ok():
        print(f"{path}: good")
        return 0
    for problem in settings.error:
        print(reader.describe_problem(problem), file=sys.stderr)
    code = settings.error[0].code
    return results.describe_result(code).exit_code


async def _run_statements(arguments: list[str]) -> int:
    # Without an id, a change could not be retried after a lost response.
    change_id = _CHANGE_ID.value or f"change-{secrets.token_hex(8)}"
    options = connection.StatementOptions(change_id, _WAIT.value)
    credential = os.environ.get(_CREDENTIAL_VARIABLE, "").strip()
    if not credential:
        return _print_failure(
            results.Failure(
                results.ResultCode.BAD_CREDENTIAL,
                f"{_CREDENTIAL_VARIABLE} is not set",
            )
        )
    async with http.open_client() as client:
        daemon = connection.Connection(client, _DAEMON.value, credential)
        match arguments:
            case ["shell"]:
                # One id for all commands would make them retries of the first.
                shell_options = connection.StatementOptions("", _WAIT.value)
                return await shell.run_shell(
                    daemon, shell_options, as_json=_JSON.value
                )
            case ["status"]:
                daemons_code = await _send_and_print(
                    daemon, "show daemons", options
                )
                return (
                    await _send_and_print(daemon, "show config", options)
                    or daemons_code
                )
            case ["watch", *rest]:
                return await _watch(daemon, " ".join(rest), options)
            case _:
                return await _send_and_print(
                    daemon, " ".join(arguments), options
                )


async def _watch(
    daemon: connection.Connection,
    text: str,
    options: connection.StatementOptions,
) -> int:
    reply_count = 0
    while True:
        code = await _send_and_print(daemon, text, options)
        reply_count += 1
        if reply_count == _REPLY_COUNT.value:
            return code
        await trio.sleep(_INTERVAL_S.value)


async def _send_and_print(
    daemon: connection.Connection,
    text: str,
    options: connection.StatementOptions,
) -> int:
    reply = await daemon.send(text, options)
    if reply.is_ok():
        print(render.render_reply(reply.ok, as_json=_JSON.value))
        return 0
    return _print_failure(reply.error)


def _print_failure(failure: results.Failure) -> int:
    text = render.render_failure(failure, as_json=_JSON.value)
    print(text, file=sys.stderr)
    return results.describe_result(failure.code).exit_code
