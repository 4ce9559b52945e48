"""The terminal console: `python -m hazelbend.console`."""
