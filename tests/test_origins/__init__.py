"""Tests of the origins family."""
