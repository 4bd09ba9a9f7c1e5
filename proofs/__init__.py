"""Bounded models of the core protocols, checked with z3."""
