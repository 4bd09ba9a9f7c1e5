"""Retries of a content have one digest, other contents have others."""

from __future__ import annotations

import testtools

from martenquay_core.serving import calls
from martenquay_daemon.quarantine import contents
from tests import serving_builders as builders

_TEAM = builders.build_team()


def _digest(**changes) -> str:
    return contents.digest_content(builders.build_call(**changes), _TEAM)


class ContentTest(testtools.TestCase):
    def test_ids_deadlines_and_headers_do_not_change_the_digest(self) -> None:
        first = _digest(id="call-1", key="key-1", budget_s=4.0)
        retry = _digest(
            id="call-2",
            key="key-2",
            budget_s=1.0,
            resume_after=7,
            headers=[(b"host", b"desk.example"), (b"x", b"y")],
        )
        self.assertEqual(first, retry)

    def test_the_parts_of_a_prompt_are_the_same_for_all_requests(self) -> None:
        def digest_parts(*ids: str, service: str = "desk") -> tuple[str, ...]:
            prompt = tuple(calls.PromptPart(one, 100) for one in ids)
            call = builders.build_call(prompt=prompt)
            return contents.digest_parts(call, service)

        first, second = digest_parts("a1", "bad", "own")
        self.assertEqual((second,), digest_parts("bad", "other"))
        self.assertEqual((first,), digest_parts("a1", "a1", "own"))
        self.assertNotEqual((first,), digest_parts("a1", "x", service="b"))
        self.assertEqual((), digest_parts("own"))
        self.assertLessEqual(len(digest_parts(*map(str, range(99)))), 16)
        self.assertNotIn(".", first)

    def test_path_query_method_host_and_body_change_the_digest(self) -> None:
        digests = {
            _digest(),
            _digest(target="/lookup/8"),
            _digest(target="/lookup/7?a=1"),
            _digest(method="POST"),
            _digest(host="other.example"),
            _digest(body=b"x"),
            _digest(body=b"x "),
        }
        self.assertEqual(7, len(digests))

    def test_the_same_request_of_another_team_has_another_digest(self) -> None:
        call = builders.build_call()
        digests = {
            contents.digest_content(call, _TEAM),
            contents.digest_content(call, builders.build_team(name="drivers")),
            contents.digest_content(call, None),
        }
        self.assertEqual(3, len(digests))

    def test_text_moved_from_one_part_to_the_next_changes_the_digest(
        self,
    ) -> None:
        one = _digest(host="desk.examplea", target="/lookup/7")
        other = _digest(host="desk.example", target="a/lookup/7")
        self.assertNotEqual(one, other)
