"""Read the operators' query and command language."""
