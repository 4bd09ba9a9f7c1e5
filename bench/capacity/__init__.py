"""Compute the tables of docs/CAPACITY.md from measured marginal costs."""
