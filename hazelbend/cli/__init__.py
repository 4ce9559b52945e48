"""The command line: `python -m hazelbend COMMAND`.

Without a command the dispatcher runs, and nothing of this package is imported.
"""
