"""Endpoints from several sources, merged into one view. No I/O; the caller gives the time.

precedence      the rule for when the endpoint list and SRV disagree
merger          one view of all endpoints
view            the view, as persistent maps
host_index      hosts by SRV key and by address
srv_claims      what SRV names report
priority_pool   which SRV priorities are open
"""
