"""Which boxes there are, when several sources say so. Pure, and told the time."""
