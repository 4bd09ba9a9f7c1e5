"""Tests of the core package."""
