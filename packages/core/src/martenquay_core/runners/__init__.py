"""Client and message types of the model engines."""
