"""Tests of the duties package."""
