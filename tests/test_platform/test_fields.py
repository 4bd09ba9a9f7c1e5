"""The page of fields names what the code reads, and the code reads it."""

from __future__ import annotations

import dataclasses
import pathlib
import re

import msgspec
import testtools

from martenquay_platform import codec, log, records

_PLATFORM = pathlib.Path(__file__).parents[2] / "platform"
_SOURCES = _PLATFORM / "src" / "martenquay_platform"
_ROW = re.compile(r"\| `([A-Za-z_-]+)` \| ([a-z]+\.py)? ?\| ?(.*?) ?\|$")
_HEADER = re.compile(r'^\s*(?:_[A-Z_]+ = )?b"([a-z-]+)",?$', re.MULTILINE)
# Not fields of this platform: hop-by-hop names of HTTP that are dropped, and
# what a caller must not set, which no answer holds.
_ONLY_DROPPED = frozenset(
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
        found = _ROW.match(line)
        if found is not None:
            field, module, reason = found.groups()
            rows.append(_Row(section, field, module or "", reason))
    return rows


def _list_names(*structs: type[msgspec.Struct]) -> set[str]:
    return {
        field.encode_name
        for struct in structs
        for field in msgspec.structs.fields(struct)
    }


class FieldsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rows = _list_rows()

    def _list(self, section: str) -> set[str]:
        return {row.field for row in self.rows if row.section == section}

    def test_what_is_said_to_be_read_is_read_there(self) -> None:
        self.assertGreater(len(self.rows), 40)
        for row in self.rows:
            if not row.module:
                self.assertNotEqual("", row.reason, row)
                continue
            source = (_SOURCES / row.module).read_text()
            is_header = row.module == "codec.py"
            name = row.field.lower() if is_header else row.field
            is_named = f'"{name}"' in source or f"    {name}:" in source
            self.assertTrue(is_named, row)

    def test_each_header_that_the_code_names_is_on_the_page(self) -> None:
        named = set(_HEADER.findall((_SOURCES / "codec.py").read_text()))
        listed = {row.field.lower() for row in self.rows}
        self.assertIn("server-limit", named)
        self.assertEqual(set(), named - listed - _ONLY_DROPPED)

    def test_each_field_of_an_entry_is_on_the_page(self) -> None:
        read = _list_names(records._Entry)
        self.assertEqual(set(), read - self._list("Entries of runners"))

    def test_each_field_of_the_logs_answers_is_on_the_page(self) -> None:
        read = _list_names(log._Entry, log._Newest, log._Lost, log._Appended)
        self.assertEqual(set(), read - self._list("Answers of the log"))

    def test_what_a_runner_says_of_itself_comes_out_of_the_border(self) -> None:
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
        self.assertEqual(3.0, head.signals.backoff_s)
