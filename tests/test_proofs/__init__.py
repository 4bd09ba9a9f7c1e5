"""Tests that check the models of the core protocols."""
