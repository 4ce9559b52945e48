"""Service discovery by DNS SRV records (RFC 2782): a resolver without I/O. The caller passes the time.

The modules, in the order in which they depend on each other:

    answers          questions and the results of queries
    quorum           decides from the answers of several nameservers which records are accepted
    nameservers      the health of the nameservers, and the choice of one for a query
    query_budget     limits on queries per second and on retries
    tracked_names    the tracked names, their state and their refresh times
    resolver         decides when to send which query, and what follows from its result
    snapshot         the file with the last known records
    settings         the schema of `deploy/srv.toml`
"""
