"""The router's decisions: routes, workers, the pair for a prompt, the retry budget. Pure; told the time."""
