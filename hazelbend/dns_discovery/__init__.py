"""The resolver's decisions, told the time: what answers mean, whom to ask and when."""
