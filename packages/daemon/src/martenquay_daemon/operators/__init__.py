"""Answer operators: queries read, commands change; each in a module."""
