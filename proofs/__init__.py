"""Specify the core protocols small enough for a model checker."""
