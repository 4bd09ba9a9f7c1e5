"""Tests of the fake servers and of the chaos history checker."""
