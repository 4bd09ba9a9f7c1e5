"""Work out docs/CAPACITY.md from slopes measured here."""
