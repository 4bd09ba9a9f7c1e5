"""Tests of the rollouts package."""
