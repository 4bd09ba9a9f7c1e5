"""Keep the configuration in force, follow it, publish it and change it."""
