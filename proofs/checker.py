"""Bounded model checking and inductive invariants with z3.

z3's resource limit bounds the work, so a verdict doesn't depend on the speed
of the machine.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any, Protocol

import z3

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Finding",
    "Specification",
    "Verdict",
    "prove_inductive",
    "search_violation",
]

_SOLVER_STEP_LIMIT = 400_000_000


class Verdict(enum.Enum):
    """Result of a check; UNKNOWN if z3 hit its resource limit."""

    HOLDS = "holds"
    VIOLATED = "violated"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Finding:
    """Result of a check with its counterexample.

    Attributes:
        verdict: The result.
        trace: The states of a violating run as text; empty if there is none.
    """

    verdict: Verdict
    trace: list[str]


class Specification(Protocol):
    """A transition system over z3 variables, each state a dict by name."""

    def make_state(self, step: int) -> dict[str, Any]:
        """Return new variables for the state after `step` transitions."""

    def is_initial(self, state: dict[str, Any]) -> Any:
        """Return the condition that an initial state meets."""

    def is_transition(
        self, before: dict[str, Any], after: dict[str, Any]
    ) -> Any:
        """Return the condition that a transition between two states meets."""

    def is_safe(self, state: dict[str, Any]) -> Any:
        """Return the safety property that every reachable state must meet."""


def search_violation(specification: Specification, depth: int) -> Finding:
    """Search for a run of at most `depth` transitions to an unsafe state."""
    solver = _make_solver()
    states = [specification.make_state(0)]
    solver.add(specification.is_initial(states[0]))
    for number in range(1, depth + 1):
        states.append(specification.make_state(number))
        solver.add(specification.is_transition(states[-2], states[-1]))
    unsafe = [z3.Not(specification.is_safe(state)) for state in states]
    solver.add(z3.Or(unsafe))
    return _run_solver(solver, states)


def prove_inductive(
    specification: Specification,
    invariant: Callable[[dict[str, Any]], Any],
) -> dict[str, Finding]:
    """Prove that an invariant is inductive and implies safety.

    Returns:
        A finding for each of `start` (initial states meet it), `kept`
        (transitions preserve it) and `enough` (it implies safety).
    """
    before = specification.make_state(0)
    after = specification.make_state(1)
    obligations = {
        "start": z3.And(
            specification.is_initial(before), z3.Not(invariant(before))
        ),
        "kept": z3.And(
            invariant(before),
            specification.is_transition(before, after),
            z3.Not(invariant(after)),
        ),
        "enough": z3.And(
            invariant(before), z3.Not(specification.is_safe(before))
        ),
    }
    findings = {}
    for name, counterexample in obligations.items():
        solver = _make_solver()
        solver.add(counterexample)
        findings[name] = _run_solver(solver, [before, after])
    return findings


def _make_solver() -> z3.Solver:
    solver = z3.Solver()
    solver.set("rlimit", _SOLVER_STEP_LIMIT)
    solver.set("random_seed", 7)
    return solver


def _run_solver(solver: z3.Solver, states: list[dict[str, Any]]) -> Finding:
    answer = solver.check()
    if answer == z3.unsat:
        return Finding(Verdict.HOLDS, [])
    if answer == z3.unknown:
        return Finding(Verdict.UNKNOWN, [])
    model = solver.model()
    trace = [
        ", ".join(
            f"{name}={model.eval(variable, model_completion=True)}"
            for name, variable in state.items()
        )
        for state in states
    ]
    return Finding(Verdict.VIOLATED, trace)
