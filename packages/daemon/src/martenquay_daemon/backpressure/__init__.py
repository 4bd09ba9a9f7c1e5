"""Heed what runners say of themselves in their answers."""
