"""Tests of the backpressure family."""
