"""Bound what teams and partners may take, and refuse at once beyond it."""
