"""The soak's judge accepts a correct history and reports each breach."""

from __future__ import annotations

import testtools

from martenquay_platform_standins import history, judge, runner
from martenquay_platform_standins.history import CallKind

_BOUNDS = judge.Bounds(
    lease_s=3.0,
    drain_s=3.0,
    limited_team="greedy",
    allowance=1000.0,
    window_s=4.0,
)


def _build_call(call_id: str, kind: CallKind, **changes) -> history.Call:
    """Return a call with a complete answer."""
    fields = {
        "id": call_id,
        "kind": kind,
        "path": f"/{kind}/1",
        "team": "florists",
        "daemon": "entry-0.1",
        "sent_at": 10.0,
        "ended_at": 10.1,
        "status": 200,
        "is_sealed": True,
        "is_complete": True,
        "body": runner.make_body(call_id),
    }
    if kind in history.STREAMING_KINDS:
        fields["body"] = b"".join(
            runner.make_event(call_id, n)
            for n in range(1, runner.STREAM_EVENTS + 1)
        )
    return history.Call(**(fields | changes))


def _build_run(call_id: str, kind: CallKind, **changes) -> history.Run:
    """Return an execution of such a call."""
    fields = {
        "at": 10.05,
        "runner": "runner-1",
        "call": call_id,
        "path": f"/{kind}/1",
        "team": "florists",
        "tokens": 200,
        "resumed": False,
    }
    return history.Run(**(fields | changes))


def _build_duty(at: float, holder: str, fence: int, **changes):
    """Return an accepted call of the cloud API."""
    fields = {
        "at": at,
        "name": "scale",
        "holder": holder,
        "fence": fence,
        "body": {},
        "is_refused": False,
    }
    return history.DutyCall(**(fields | changes))


class JudgeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.seen = history.History()
        for number, kind in enumerate((CallKind.BOOK, CallKind.NOTE), 1):
            self._add(_build_call(f"call-{number}", kind))
            self.seen.runs.append(_build_run(f"call-{number}", kind))

    def _add(self, call: history.Call) -> None:
        self.seen.calls[call.id] = call

    def _expect(self, *breaches: str) -> None:
        self.assertEqual(
            list(breaches), judge.find_breaches(self.seen, _BOUNDS)
        )

    def _disturb(self, name: str, target: str) -> None:
        self.seen.disturbances.append(
            history.Disturbance(name, target, 9.0, 12.0)
        )

    def _expect_interrupted(self, *ids: str) -> None:
        found = judge.find_breaches(self.seen, _BOUNDS)
        self.assertEqual(
            [f"{call_id} was cut off" for call_id in ids],
            [breach.partition(" after")[0] for breach in found],
        )

    def _add_resumed(self, number: int, software: str, **changes) -> None:
        """Add a stream that goes on after its second event."""
        first = _build_call(f"call-{number}", CallKind.LONG, status=200)
        first.is_complete = False
        first.body = b"".join(
            runner.make_event(first.id, event) for event in (1, 2)
        )
        self._add(first)
        self.seen.runs.append(_build_run(first.id, CallKind.LONG))
        call = _build_call(
            f"call-{number}-again",
            CallKind.LONG,
            resumed_id=first.id,
            resume_after=2,
            sent_at=14.0,
            ended_at=14.1,
        )
        call.body = b"".join(
            runner.make_event(call.id, event, software)
            for event in range(3, runner.STREAM_EVENTS + 1)
        )
        self._add(call)
        self.seen.runs.append(_build_run(call.id, CallKind.LONG))
        for name, value in changes.items():
            setattr(call, name, value)

    def test_a_stream_that_goes_on_at_its_version_passes(self) -> None:
        self._disturb("kill", "entry-0")
        self._add_resumed(9, "v1")
        self._expect()

    def test_a_stream_that_goes_on_at_another_version_is_a_breach(self) -> None:
        self._disturb("kill", "entry-0")
        self._add_resumed(9, "v1.1")
        self._expect("stream call-9 holds events of versions ['v1', 'v1.1']")

    def test_two_versions_within_one_answer_are_a_breach(self) -> None:
        call = _build_call("call-8", CallKind.LONG)
        call.body = b"".join(
            runner.make_event("call-8", n, "v1" if n < 5 else "v1.1")
            for n in range(1, runner.STREAM_EVENTS + 1)
        )
        self._add(call)
        self.seen.runs.append(_build_run("call-8", CallKind.LONG))
        self._expect("stream call-8 holds events of versions ['v1', 'v1.1']")

    def test_too_few_resumed_streams_that_go_on_are_a_breach(self) -> None:
        self._disturb("kill", "entry-0")
        self.seen.disturbances[0].ended_at = 10.5
        for number in range(20, 32):
            refused = {"status": 503, "body": b"", "is_sealed": False}
            changes = refused if number < 27 else {}
            self._add_resumed(number, "v1", **changes)
        call = _build_call("call-99", CallKind.NOTE, sent_at=20.0)
        call.ended_at = 20.1
        self._add(call)
        self.seen.runs.append(_build_run(call.id, CallKind.NOTE))
        self._expect(
            "5 of 12 resumed streams went on, and 1 of 1 new ones began"
        )

    def _add_crashing_parts(self, *times: float) -> None:
        for number, at in enumerate(times):
            parts = ("a1", history.CRASHING_PART, f"own{number}")
            call = _build_call(f"bad-{number}", CallKind.NOTE, status=502)
            call.parts = parts
            self._add(call)
            self.seen.runs.append(
                _build_run(call.id, CallKind.NOTE, at=at, parts=parts)
            )

    def _add_sound_calls(self, at: float, status: int) -> None:
        for number in range(25):
            call = _build_call(f"sound-{at}-{number}", CallKind.NOTE)
            call.parts = ("a1", f"own-{at}-{number}")
            call.sent_at, call.ended_at = at, at + 0.1
            call.status = status
            self._add(call)
            self.seen.runs.append(_build_run(call.id, CallKind.NOTE))

    def test_few_runs_with_a_crashing_part_pass(self) -> None:
        self._add_crashing_parts(1, 2, 3, 4, 5, 7.9, 9, 10, 11)
        self._expect()

    def test_a_part_that_keeps_crashing_runners_is_a_breach(self) -> None:
        self._add_crashing_parts(1, 2, 3, 4, 5, 9, 10, 11, 12)
        self._expect("9 runners ended under one part, 4 long after the fifth")

    def test_sound_requests_beside_a_crashing_part_have_to_begin(self) -> None:
        self._add_crashing_parts(31, 32, 33)
        self._add_sound_calls(20.0, 200)
        self._add_sound_calls(40.0, 503)
        self._expect(
            "0% of the sound requests begin beside those with the crashing"
            " part, 100% before"
        )

    def test_few_runs_after_three_crashes_pass(self) -> None:
        self.assertEqual(
            [], self._judge_crashing_request([1.0, 1.2, 1.4, 1.6, 9.0])
        )

    def test_a_request_that_keeps_crashing_runners_is_a_breach(self) -> None:
        found = self._judge_crashing_request(
            [1.0, 1.2, 1.4, 9.0, 10.0, 11.0, 12.0]
        )
        self.assertEqual(1, len(found))

    def test_a_fault_excuses_late_runs_of_a_crashing_request(self) -> None:
        fault = history.Disturbance("cut platform", "entry-0", 8.0, 12.0)
        times = [1.0, 1.2, 1.4, 9.0, 10.0, 11.0, 12.0]
        self.assertEqual([], self._judge_crashing_request(times, fault))

    def _judge_crashing_request(
        self, times: list[float], *faults: history.Disturbance
    ) -> list[str]:
        seen = history.History()
        seen.disturbances += faults
        for number, at in enumerate(times):
            call_id = f"call-{number}"
            seen.calls[call_id] = _build_call(
                call_id,
                CallKind.NOTE,
                path=history.CRASHING_PATH,
                status=502,
                sent_at=at,
                ended_at=at + 0.1,
            )
            seen.runs.append(
                history.Run(
                    at,
                    f"runner-{number}",
                    call_id,
                    history.CRASHING_PATH,
                    "florists",
                    0,
                    resumed=False,
                )
            )
        return judge.find_breaches(seen, _BOUNDS)

    def test_a_good_history_passes(self) -> None:
        self._add(_build_call("call-3", CallKind.BOOK, status=503, body=b""))
        self.seen.calls["call-3"].is_sealed = False
        self.seen.duties = [
            _build_duty(1.0, "a", 1),
            _build_duty(6.0, "b", 9),
            _build_duty(11.0, "a", 17),
        ]
        self._expect()

    def test_a_booking_that_ran_twice(self) -> None:
        self.seen.runs.append(_build_run("call-1", CallKind.BOOK))
        self._expect("call-1 ran 2 times")

    def _add_moved_draft(self, ended_at: float) -> None:
        """Add a draft whose run goes on at another runner at 10.5."""
        self._add(_build_call("call-3", CallKind.DRAFT))
        self.seen.runs += [
            _build_run("call-3", CallKind.DRAFT),
            _build_run(
                "call-3",
                CallKind.DRAFT,
                at=10.5,
                runner="runner-2",
                moved=True,
                resumed=True,
            ),
        ]
        self.seen.run_ends += [
            history.RunEnd(ended_at, "runner-1", "call-3"),
            history.RunEnd(10.8, "runner-2", "call-3"),
        ]

    def test_a_moved_draft_counts_as_one_run(self) -> None:
        self._add_moved_draft(10.45)
        self._expect()

    def test_a_moved_draft_that_runs_on_at_its_source(self) -> None:
        self._add_moved_draft(11.0)
        self._expect("call-3 ran at two for 0.500 s")

    def test_a_draft_that_ran_twice(self) -> None:
        self._add(_build_call("call-3", CallKind.DRAFT))
        self.seen.runs += [_build_run("call-3", CallKind.DRAFT)] * 2
        self._expect("call-3 ran 2 times")

    def test_a_run_without_a_request(self) -> None:
        self.seen.runs.append(_build_run("call-9", CallKind.BOOK))
        self._expect(
            "call-9 ran and nobody asked for it: /book/1 at runner-1 for"
            " 'florists'"
        )

    def test_a_run_for_another_team_or_with_another_path(self) -> None:
        self.seen.runs[0] = _build_run(
            "call-1", CallKind.BOOK, team="greedy", path="/book/2"
        )
        self._expect(
            "call-1 ran with another path", "call-1 ran for another team"
        )

    def test_a_refused_request_that_ran(self) -> None:
        call = _build_call("call-1", CallKind.BOOK, status=503, body=b"")
        call.is_sealed = False
        self._add(call)
        self._expect("call-1 was told 'not run' and ran")

    def test_an_answer_without_a_run(self) -> None:
        del self.seen.runs[0]
        self._expect("call-1 was answered and never ran")

    def test_an_answer_without_a_runner_seal(self) -> None:
        self.seen.calls["call-1"].is_sealed = False
        self._expect("call-1 has an answer that no runner vouches for")

    def test_a_truncated_answer_that_seems_complete(self) -> None:
        call = self.seen.calls["call-2"]
        call.body = runner.make_event("call-2", 1)
        self._expect(f"call-2 has a whole answer of {call.body!r}")
        call.is_complete = False
        self._disturb("kill", "entry-0")
        self._expect()

    def test_events_out_of_order_or_of_another_call(self) -> None:
        call = self.seen.calls["call-2"]
        call.is_complete = False
        self._disturb("kill", "entry-0")
        for second in (
            runner.make_event("call-2", 3),
            runner.make_event("call-7", 2),
        ):
            call.body = runner.make_event("call-2", 1) + second
            found = judge.find_breaches(self.seen, _BOUNDS)
            self.assertEqual(1, len(found))
            self.assertIn("foreign content", found[0])

    def test_a_daemon_that_goes_back_to_an_older_version(self) -> None:
        for number, (status, sealed) in enumerate(((200, True), (404, False))):
            call = _build_call(
                f"call-{7 + number}",
                CallKind.PROBE,
                status=status,
                is_sealed=sealed,
                version=5,
                sent_at=20.0 + number,
                ended_at=20.5 + number,
            )
            call.path = "/probe/1"
            self._add(call)
        self.seen.runs.append(_build_run("call-7", CallKind.PROBE))
        self._expect("entry-0.1 went back from version 5 behind 5")

    def test_fencing_tokens_that_fall_are_shared_or_alternate(self) -> None:
        self.seen.duties = [_build_duty(1.0, "a", 5), _build_duty(9.0, "b", 4)]
        self._expect("fence 4 came after 5")
        self.seen.duties = [_build_duty(1.0, "a", 5), _build_duty(9.0, "b", 5)]
        self._expect("fence 5 has two holders")
        self.seen.duties = [
            _build_duty(1.0, "a", 5),
            _build_duty(2.0, "b", 6),
            _build_duty(3.0, "a", 7),
        ]
        self._expect("a acted again within the lease")

    def test_a_window_that_is_reported_in_two_ways(self) -> None:
        self.seen.duties = [
            _build_duty(
                at,
                "a",
                5,
                name="usage",
                body={"WindowId": 3, "Counts": {"florists": count}},
            )
            for at, count in ((1.0, 4), (2.0, 4), (3.0, 5))
        ]
        self._expect("window 3 was reported in two ways")

    def test_a_team_that_gets_more_than_its_allowance(self) -> None:
        for number in range(6):
            call_id = f"call-{20 + number}"
            call = _build_call(call_id, CallKind.LOOK, team="greedy")
            self._add(call)
            self.seen.runs.append(
                _build_run(call_id, CallKind.LOOK, team="greedy")
            )
        self._expect("greedy got 1200 in a window")

    def test_a_draining_runner_that_gets_work(self) -> None:
        self.seen.draining_since["runner-1"] = 5.0
        late = [f"runner-1 got work {10.05 - 5.0:.1f} s after"] * 2
        self._expect(*late)
        self.seen.disturbances.append(
            history.Disturbance("cut platform 4", "entry-1", 4.0, 6.0)
        )
        self._expect()

    def test_a_planned_operation_that_interrupts_a_request(self) -> None:
        call = self.seen.calls["call-1"]
        call.is_complete = False
        call.status = 0
        call.body = b""
        for name in ("stop", "reload", "series"):
            self.seen.disturbances.clear()
            self._disturb(name, "entry-0")
            self._expect_interrupted("call-1")

    def test_a_planned_operation_that_interrupts_an_answer(self) -> None:
        call = self.seen.calls["call-2"]
        call.is_complete = False
        call.body = runner.make_event("call-2", 1)
        self._disturb("series", "entry-0")
        self._expect_interrupted("call-2")

    def test_an_answer_that_its_deadline_interrupts(self) -> None:
        call = self.seen.calls["call-2"]
        call.is_complete = False
        call.body = b""
        call.ended_at = call.sent_at + call.budget_s - 0.1
        self._expect_interrupted("call-2")
        call.ended_at = call.sent_at + call.budget_s + 0.1
        self._expect()
        # Without a response head, the daemon had to answer with an error.
        call.status = 0
        self._expect_interrupted("call-2")

    def test_an_interrupted_request_without_a_disturbance(self) -> None:
        self.seen.calls["call-1"].is_complete = False
        self._expect_interrupted("call-1")

    def test_a_fault_that_may_have_interrupted_a_request(self) -> None:
        self.seen.calls["call-1"].is_complete = False
        self._disturb("stop", "entry-0")
        for name, target in (
            ("kill", "entry-0"),
            ("kill all", ""),
            ("freeze", "entry-0"),
            ("cut peers 3", "entry-0"),
            ("harm callers 0", "entry-0"),
            ("harm runner 0", "runner-7"),
            ("kill runner", "runner-7"),
        ):
            self._disturb(name, target)
            self._expect()
            self.seen.disturbances.pop()

    def test_a_fault_elsewhere_excuses_nothing(self) -> None:
        self.seen.calls["call-1"].is_complete = False
        self._disturb("stop", "entry-0")
        for name, target in (
            ("kill", "entry-1"),
            ("freeze", "entry-1"),
            ("cut platform 4", "entry-1"),
            ("store hang", "store"),
            ("leave", "runner-7"),
        ):
            self._disturb(name, target)
            self._expect_interrupted("call-1")
            self.seen.disturbances.pop()

    def test_a_fault_long_before_excuses_nothing(self) -> None:
        self.seen.calls["call-1"].is_complete = False
        self._disturb("stop", "entry-0")
        self.seen.disturbances.append(
            history.Disturbance("kill", "entry-0", 1.0, 6.9)
        )
        self._expect_interrupted("call-1")

    def test_a_request_that_was_read_and_got_no_answer(self) -> None:
        call = _build_call(
            "call-3", CallKind.BOOK, ended_at=11.5, status=0, body=b""
        )
        call.waited_s = 1.45
        call.is_sealed = False
        call.is_complete = False
        self._add(call)
        self._disturb("series", "entry-0")
        self._expect_interrupted("call-3")
        # A short wait may be a race with the close of the connection, however
        # much time passed while the soak's own process was stalled.
        call.waited_s = 0.05
        self._expect()
        call.ended_at = 10.2
        self._expect()

    def test_slow_kinds_have_the_rules_of_the_quick_ones(self) -> None:
        for call_id, kind in (("call-4", CallKind.WAIT), ("call-5", "long")):
            call = _build_call(call_id, CallKind(kind))
            if kind == "long":
                call.body = self.seen.calls["call-2"].body.replace(
                    b"call-2", b"call-5"
                )
            self._add(call)
            self.seen.runs.append(_build_run(call_id, CallKind(kind)))
        self._expect()
        self.seen.runs.append(_build_run("call-4", CallKind.WAIT))
        self._expect("call-4 ran 2 times")

    def test_a_process_that_exited_unexpectedly(self) -> None:
        self.seen.failures.append("entry-0.1 ended 1: ...")
        self._expect("entry-0.1 ended 1: ...")
