"""Tests of the quarantine family."""
