"""The job queue: jobs wait for other jobs, for a start time, and for a place in service."""
