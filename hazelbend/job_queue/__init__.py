"""The job queue, in which jobs wait for other jobs, for a start time, and for a slot to run in."""
