"""The core: flows, schedulings, the table of real servers. It knows no wire."""
