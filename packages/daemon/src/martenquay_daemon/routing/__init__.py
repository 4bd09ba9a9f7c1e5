"""Placement of model requests on runners by load and cached prefix."""
