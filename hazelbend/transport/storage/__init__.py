"""Files and databases that outlast a process."""
