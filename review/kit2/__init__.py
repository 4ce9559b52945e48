"""Stand-ins for the cases of the second review: wire, worker, fleet. Standard library only."""
