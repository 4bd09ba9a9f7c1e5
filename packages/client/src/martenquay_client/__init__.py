"""Command line for operators: queries, commands and offline checks."""
