"""Parser of the operators' query and command language."""
