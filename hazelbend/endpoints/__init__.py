"""Endpoints from several sources, merged into one view. No I/O; the caller passes the time.

precedence      which source takes precedence if the endpoint list and SRV records disagree
merger          merges the reports of all sources into the view
view            one version of the view, as a persistent map
host_index      looks up hosts by SRV key and by address
srv_claims      what each SRV name reports about endpoints
priority_pool   which SRV priorities are open
"""
