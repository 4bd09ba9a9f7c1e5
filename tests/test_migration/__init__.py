"""Tests of the migration of streams."""
