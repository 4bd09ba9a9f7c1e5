"""Tests of backpressure from runners."""
