"""FIELDS.md lists the wire fields that the adapter reads, and where."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import msgspec
import testtools

from martenquay_platform import codec, log, moves, records

_PLATFORM = pathlib.Path(__file__).parents[2] / "platform"
_SOURCE_FOLDER = _PLATFORM / "src" / "martenquay_platform"
_ROW_PATTERN = re.compile(
    r"\| `([A-Za-z_-]+)` \| ([a-z]+\.py)? ?\| ?(.*?) ?\|$"
)
_HEADER_PATTERN = re.compile(
    r'^\s*(?:_[A-Z_]+ = )?b"([a-z-]+)",?$', re.MULTILINE
)
# Not listed in FIELDS.md: hop-by-hop headers of HTTP, and headers that are only
# dropped from callers' requests.
_UNLISTED_HEADERS = frozenset(
    {
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "kv-fetch",
        "kv-backup",
        "expect-version",
        "hold",
        "pin-ms",
    }
)


@dataclasses.dataclass(frozen=True)
class _Row:
    section: str
    field: str
    module: str
    reason: str


def _list_rows() -> list[_Row]:
    rows = []
    section = ""
    for line in (_PLATFORM / "FIELDS.md").read_text().splitlines():
        if line.startswith("## "):
            section = line[3:]
        match = _ROW_PATTERN.match(line)
        if match is not None:
            field, module, reason = match.groups()
            rows.append(_Row(section, field, module or "", reason))
    return rows


def _list_wire_names(*structs: type[msgspec.Struct]) -> set[str]:
    return {
        field.encode_name
        for struct in structs
        for field in msgspec.structs.fields(struct)
    }


class FieldsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rows = _list_rows()

    def _list_fields(self, section: str) -> set[str]:
        return {row.field for row in self.rows if row.section == section}

    def test_listed_fields_are_read_in_the_module_named(self) -> None:
        self.assertGreater(len(self.rows), 40)
        for row in self.rows:
            if not row.module:
                self.assertNotEqual("", row.reason, row)
                continue
            source = (_SOURCE_FOLDER / row.module).read_text()
            is_header = row.module == "codec.py"
            name = row.field.lower() if is_header else row.field
            is_named = f'"{name}"' in source or f"    {name}:" in source
            self.assertTrue(is_named, row)

    def test_each_header_in_the_codec_is_listed(self) -> None:
        named = set(
            _HEADER_PATTERN.findall((_SOURCE_FOLDER / "codec.py").read_text())
        )
        listed = {row.field.lower() for row in self.rows}
        self.assertIn("server-limit", named)
        self.assertEqual(set(), named - listed - _UNLISTED_HEADERS)

    def test_each_field_of_a_runner_entry_is_listed(self) -> None:
        names = _list_wire_names(records._RunnerEntry)
        self.assertEqual(set(), names - self._list_fields("Entries of runners"))

    def test_each_field_of_the_logs_answers_is_listed(self) -> None:
        names = _list_wire_names(
            log._KeyedEntry,
            log._NewestPage,
            log._OffsetOutOfRange,
            log._AppendResult,
        )
        self.assertEqual(set(), names - self._list_fields("Answers of the log"))

    def test_each_field_of_the_engines_answers_is_listed(self) -> None:
        section = "Answers of engines to calls that move runs"
        names = _list_wire_names(moves._MoveAnswer)
        self.assertEqual(names, self._list_fields(section))

    def test_headers_about_the_runners_state_are_decoded(self) -> None:
        headers = [
            (b"attempt-id", b"call-1"),
            (b"server-seal", b"s"),
            (b"not-executed", b"1"),
            (b"server-limit", b"2"),
            (b"server-leaving", b"1"),
            (b"retry-after", b"3"),
        ]
        head = codec.create_codec().decode_answer(503, headers)
        self.assertEqual("call-1", head.call_id)
        self.assertTrue(head.is_sealed and head.did_not_run)
        self.assertEqual(2.0, head.signals.limit_per_s)
        self.assertTrue(head.signals.is_leaving)
        self.assertEqual(3.0, head.signals.retry_after_s)
