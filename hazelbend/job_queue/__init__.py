"""Jobs that wait: on other jobs, on a clock, on admission. Pure, and told the time."""
