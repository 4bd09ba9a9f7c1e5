"""Tests of martenquay."""
