"""`python -m hazelbend.system`."""

from hazelbend.system.main import run

run()
