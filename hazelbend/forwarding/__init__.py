"""Forwards requests in a router: one task a request, from arrival to final response. It knows no wire.

`forwarder` serves a request; `admission`, `attempts`, `prefill`, `worker_selection`, `retry_policy` and
`response_relay` are its steps; `ports` has the Protocols that transports implement.
"""
