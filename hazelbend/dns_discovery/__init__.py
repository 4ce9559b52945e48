"""Service discovery by DNS SRV records (RFC 2782): a resolver without I/O, which is given the time.

The modules, from the values up:

    answers          questions, and the results of queries
    quorum           which records are accepted, by the answers of several nameservers
    nameservers      health of the nameservers, and the choice of one for a query
    query_budget     limits on queries per second and on retries
    tracked_names    the names that are tracked, their state and when each is refreshed
    resolver         which query to send when, and what follows from its result
    snapshot         the file of last known records
    settings         the schema of `deploy/srv.toml`
"""
