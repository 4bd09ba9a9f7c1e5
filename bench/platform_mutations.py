"""Mutations of the daemon's request path on the platform and its clients."""

from __future__ import annotations

from bench.mutation import CORE, DAEMON, Mutation

__all__ = ["PLATFORM_MUTATIONS"]

_FORWARDER = "tests.test_forwarding.test_forwarder"
_BACKPRESSURE = "tests.test_backpressure"
_REFILL_SHARES = "tests.test_allowances.test_refill_shares"
_LEASE = "tests.test_duties.test_lease"
_SILENT_CONNECTIONS = "tests.test_forwarding.test_silent_connections"
_SILENT_STORE = "tests.test_platform.test_silent_store"
_STREAM_VERSIONS = "tests.test_forwarding.test_stream_versions"
_ORIGINS = "tests.test_origins.test_finder"
_CRASHING_PART = "tests.test_promises.test_crashing_part"

PLATFORM_MUTATIONS = (
    Mutation(
        "unmarked refusals are no promise",
        f"{DAEMON}/forwarding/attempt.py",
        "_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})",
        "_NOT_RUN_STATUSES = frozenset()",
        f"{_FORWARDER}.AtMostOnceTest",
    ),
    Mutation(
        "what may have run is not sent again",
        f"{DAEMON}/forwarding/forwarder.py",
        "        if current.may_have_run and not route.may_repeat:\n"
        "            return False\n",
        "",
        f"{_FORWARDER}.AtMostOnceTest",
    ),
    Mutation(
        "answers to other requests are dropped",
        f"{DAEMON}/forwarding/attempt.py",
        "head.call_id is not None and head.call_id != call.id",
        "False",
        f"{_FORWARDER}.PlainCallTest",
    ),
    Mutation(
        "answers need a seal",
        f"{DAEMON}/forwarding/attempt.py",
        "head.status < 300 and not head.is_sealed",
        "False",
        f"{_FORWARDER}.PlainCallTest",
    ),
    Mutation(
        "delivered events are dropped",
        f"{DAEMON}/forwarding/stream_relay.py",
        "                if event.id <= last:\n                    continue\n",
        "",
        f"{_FORWARDER}_streams.StreamTest",
    ),
    Mutation(
        "gaps between events break off",
        f"{DAEMON}/forwarding/stream_relay.py",
        "if event.id > last + 1:",
        "if False:",
        f"{_FORWARDER}_streams.StreamTest",
    ),
    Mutation(
        "resumption names the last event",
        f"{DAEMON}/forwarding/attempt.py",
        "resume_after=current.last_event_id,",
        "resume_after=None,",
        f"{_FORWARDER}_streams.StreamTest",
    ),
    Mutation(
        "a reset is not the end of an answer",
        f"{DAEMON}/forwarding/runner_connection.py",
        'raise BrokenAnswerError(f"reset: {error}") from error\n',
        'data = b""\n',
        "tests.test_forwarding.test_runner_connection",
    ),
    Mutation(
        "silent runners are asked",
        f"{DAEMON}/forwarding/silence.py",
        "        if is_unreachable and connection.last_activity_at == "
        "last_activity_at:",
        "        if False:",
        f"{_FORWARDER}_streams.StreamTest",
    ),
    Mutation(
        "the caller's leaving ends the work",
        f"{DAEMON}/forwarding/caller_connection.py",
        "            if not data:\n                scope.cancel()\n"
        "                return\n",
        "            if not data:\n                return\n",
        f"{_FORWARDER}.PlainCallTest",
    ),
    Mutation(
        "a caller's close is seen behind what it sent ahead",
        f"{DAEMON}/forwarding/caller_connection.py",
        "        await disconnects.wait_until_disconnected("
        "self._stream.socket)\n"
        "        scope.cancel()\n",
        "",
        "tests.test_forwarding.test_disconnects_answers.WaitingTest",
    ),
    Mutation(
        "nothing is sent for a caller that is gone",
        f"{DAEMON}/forwarding/exchange.py",
        "        if self.writer.has_disconnected:\n",
        "        if False:\n",
        "tests.test_forwarding.test_disconnects",
    ),
    Mutation(
        "calls that were given up are reset",
        f"{CORE}/util/http.py",
        "        options.append(_RESET_ON_CLOSE)",
        "        pass",
        "tests.test_core.test_http",
    ),
    Mutation(
        "a version is never taken back",
        f"{DAEMON}/discovery/catalog_store.py",
        "        if content.version <= self.version:\n"
        "            return False\n",
        "",
        "tests.test_discovery.test_followers",
    ),
    Mutation(
        "lapsed entries may come back",
        f"{DAEMON}/discovery/runner_directory.py",
        "_REREGISTRATION_GRACE_S = 2.2",
        "_REREGISTRATION_GRACE_S = 0.0",
        "tests.test_discovery.test_runner_directory",
    ),
    Mutation(
        "a lost call is no outage",
        f"{DAEMON}/discovery/contact.py",
        "_MIN_OUTAGE_S = 2.0",
        "_MIN_OUTAGE_S = 0.0",
        "tests.test_discovery.test_runner_directory",
    ),
    Mutation(
        "the lease is taken under a condition",
        f"{DAEMON}/duties/lease_topic.py",
        "expected_end=self.end,",
        "expected_end=None,",
        _LEASE,
    ),
    Mutation(
        "a former holder's own lease delays its next",
        f"{DAEMON}/duties/lease.py",
        "if topic.fence != self._former_fence:",
        "if False:",
        _LEASE,
    ),
    Mutation(
        "dropped records of the lease count as a renewal",
        f"{DAEMON}/duties/lease_topic.py",
        "        self.end = start\n        self._forget_last()\n",
        "        self.end = start\n",
        _LEASE,
    ),
    Mutation(
        "a new era of the lease's topic counts as a renewal",
        f"{DAEMON}/duties/lease_topic.py",
        "            self.era_since = trio.current_time()\n"
        "            self._forget_last()\n",
        "            self.era_since = trio.current_time()\n",
        _LEASE,
    ),
    Mutation(
        "the lease is released after the calls under way",
        f"{DAEMON}/duties/lease.py",
        "        if self._calls_under_way:\n"
        "            await self._last_call_ended.wait()\n",
        "",
        _LEASE,
    ),
    Mutation(
        "the lease knows of the duties' calls",
        f"{DAEMON}/duties/parts.py",
        "    cloud = duty_calls.LeasedCloud(cloud, sources.lease)\n",
        "",
        "tests.test_daemon.test_gateway",
    ),
    Mutation(
        "refused appends of the lease are repeated after a pause",
        f"{DAEMON}/duties/lease.py",
        "                await trio.sleep(_RETRY_DELAY_S)\n\n",
        "                pass\n\n",
        _LEASE,
    ),
    Mutation(
        "the lease ends by the holder's clock",
        f"{DAEMON}/duties/lease.py",
        "return self.fence > 0 and now + needed_s < self._valid_until",
        "return self.fence > 0",
        _LEASE,
    ),
    Mutation(
        "a late renewal counts from its sending",
        f"{DAEMON}/duties/lease.py",
        "sent_at = self._topic.find_sent_at(last.number)",
        "sent_at = trio.current_time()",
        _LEASE,
    ),
    Mutation(
        "reports are written before they are sent",
        f"{DAEMON}/duties/usage_reporter.py",
        "        if window not in self._logged_counts and not await"
        " self._log_report(\n            window\n        ):\n"
        "            return\n",
        "        self._logged_counts.setdefault(window, {})\n",
        "tests.test_duties.test_usage_reporter",
    ),
    Mutation(
        "a loan ends counted from the report that it names",
        f"{DAEMON}/allowances/refill_shares.py",
        "end = reported_at + delegation.ends_s",
        "end = now + delegation.ends_s",
        _REFILL_SHARES,
    ),
    Mutation(
        "a part is not lent twice at a time",
        f"{DAEMON}/allowances/refill_shares.py",
        "starts_at = max(now, last.until)",
        "starts_at = now",
        _REFILL_SHARES,
    ),
    Mutation(
        "a new process ends the loans of the one before",
        f"{DAEMON}/allowances/refill_shares.py",
        "known.span = dataclasses.replace(known.span, end=now)",
        "pass",
        _REFILL_SHARES,
    ),
    Mutation(
        "one more zone may be reclaimed",
        f"{DAEMON}/duties/capacity_plan.py",
        "sum(serving) - max(serving, default=0)",
        "sum(serving)",
        "tests.test_duties.test_capacity",
    ),
    Mutation(
        "refused orders are not repeated in a loop",
        f"{DAEMON}/duties/capacity_order.py",
        "_FIRST_RETRY_S = 1.5",
        "_FIRST_RETRY_S = 0.0",
        "tests.test_duties.test_capacity_controller",
    ),
    Mutation(
        "repeats are bounded",
        f"{DAEMON}/forwarding/retry_window.py",
        "        if len(counts.repeats) + 1 > allowed:\n"
        "            return False\n",
        "",
        "tests.test_forwarding.test_retry_window",
    ),
    Mutation(
        "digests are handed on",
        f"{DAEMON}/fleet/links.py",
        "            known += [member.digest for member in"
        " self._view.list_fresh()]\n",
        "            known += []\n",
        "tests.test_fleet.test_links",
    ),
    Mutation(
        "log lines are bounded",
        f"{CORE}/util/line_writer.py",
        "        return count < _LINES_PER_S",
        "        return True",
        "tests.test_core.test_line_writer",
    ),
    Mutation(
        "silent links are asked",
        f"{CORE}/peers/sockets.py",
        "    raw_socket.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_interval_ms)\n",
        "",
        "tests.test_core.test_silent_peers",
    ),
    Mutation(
        "one silent call casts doubt on other connections",
        f"{CORE}/util/http.py",
        "            self._pools.replace(generation)\n",
        "",
        _SILENT_STORE,
    ),
    Mutation(
        "silent long polls are cut",
        "platform/src/martenquay_platform/log.py",
        "            self._client.cancel_stale_calls()\n",
        "            pass\n",
        _SILENT_STORE,
    ),
    Mutation(
        "silent appends leave time to renew the lease",
        "platform/src/martenquay_platform/log.py",
        "_CONDITIONAL_APPEND_TIMEOUT_S = 0.8",
        "_CONDITIONAL_APPEND_TIMEOUT_S = 1.5",
        _SILENT_STORE,
    ),
    Mutation(
        "silent connections of live runners are given up",
        f"{DAEMON}/forwarding/attempt.py",
        "    if has_next and placement.considered > 1:",
        "    if False:",
        _SILENT_CONNECTIONS,
    ),
    Mutation(
        "silent callers that take nothing are given up",
        f"{DAEMON}/forwarding/caller_connection.py",
        "_SEND_TIMEOUT_S = 5.0",
        "_SEND_TIMEOUT_S = 3600.0",
        "tests.test_forwarding.test_caller_connection",
    ),
    Mutation(
        "the third crash is the last",
        f"{DAEMON}/quarantine/crash_table.py",
        "QUARANTINE_ROUNDS = 3",
        "QUARANTINE_ROUNDS = 99",
        "tests.test_promises.test_crashing_request",
    ),
    Mutation(
        "only a runner that is gone strikes",
        f"{DAEMON}/quarantine/evidence.py",
        "            return False\n",
        "            return True\n",
        "tests.test_quarantine.test_evidence",
    ),
    Mutation(
        "an answer takes strikes back",
        f"{DAEMON}/forwarding/quarantine_filter.py",
        "if current.crashes_seen.get(digest):",
        "if False:",
        "tests.test_forwarding.test_quarantine_filter",
    ),
    Mutation(
        "a limit has few holders",
        f"{DAEMON}/backpressure/send_shares.py",
        "    if sender.rank < holders:",
        "    if sender.rank < daemons:",
        f"{_BACKPRESSURE}.test_send_shares",
    ),
    Mutation(
        "a slot that was not used is gone",
        f"{DAEMON}/backpressure/runner_limits.py",
        "    into_period_s = elapsed_s % slot.period_s",
        "    into_period_s = 0.0",
        f"{_BACKPRESSURE}.test_runner_limits.RunnerLimitsTest",
    ),
    Mutation(
        "an overtaken answer ends no limit",
        f"{DAEMON}/backpressure/limit_reports.py",
        "    if report.sent_at >= known.heard_at:",
        "    if report.sent_at >= known.sent_at:",
        f"{_BACKPRESSURE}.test_limit_reports",
    ),
    Mutation(
        "the gate is asked at the sending",
        f"{DAEMON}/backpressure/runner_admission.py",
        "        rejection = self._find_rejection(runner)",
        '        rejection = ""',
        f"{_BACKPRESSURE}.test_runner_admission",
    ),
    Mutation(
        "no entry brings a leaving runner back",
        f"{DAEMON}/discovery/runner_directory.py",
        "runner.is_leaving or self.leaving.is_draining(runner)",
        "runner.is_leaving",
        f"{_BACKPRESSURE}.test_drain_reports",
    ),
    Mutation(
        "after a rest one request goes first",
        f"{DAEMON}/backpressure/runner_backoffs.py",
        "max(backoff.until, backoff.probed_at + _PROBE_TIMEOUT_S)",
        "backoff.until",
        f"{_BACKPRESSURE}.test_runner_backoffs",
    ),
    Mutation(
        "a misdirected send is a repeat",
        f"{DAEMON}/forwarding/forwarder.py",
        "current.attempts > 0 or current.misdirected > 0",
        "current.attempts > 0",
        f"{_FORWARDER}.AtMostOnceTest",
    ),
    Mutation(
        "a stream goes on at its version",
        f"{DAEMON}/engines/placer.py",
        "[one for one in usable if one.software == software]",
        "usable",
        _STREAM_VERSIONS,
    ),
    Mutation(
        "an unknown version is not guessed",
        f"{DAEMON}/origins/finder.py",
        "        return UnknownVersion(is_log_read)",
        "        return AnyVersion()",
        _STREAM_VERSIONS,
    ),
    Mutation(
        "other daemons are told where streams begin",
        f"{DAEMON}/origins/log.py",
        "        if self._history.is_mixed(origin.service):",
        "        if False:",
        _ORIGINS,
    ),
    Mutation(
        "origins are written to the log",
        f"{DAEMON}/origins/log.py",
        "        return unwritten if is_mixed else []",
        "        return []",
        _ORIGINS,
    ),
    Mutation(
        "a version that left counts for a while",
        f"{DAEMON}/origins/log.py",
        "            self._history.note_mixed(service,",
        "            _ = (service,",
        _ORIGINS,
    ),
    Mutation(
        "parts of prompts are blamed",
        f"{DAEMON}/forwarding/quarantine_filter.py",
        "(digest, *self._list_blamed_parts(current))",
        "(digest,)",
        _CRASHING_PART,
    ),
    Mutation(
        "begun answers clear parts",
        f"{DAEMON}/forwarding/quarantine_filter.py",
        "            self._quarantine.note_answer(part)",
        "            pass",
        "tests.test_forwarding.test_quarantine_filter",
    ),
    Mutation(
        "wider crashes account for others",
        f"{DAEMON}/quarantine/verdicts.py",
        "if one >= crashed",
        "if one == crashed",
        "tests.test_quarantine.test_verdicts",
    ),
)
