"""Forwards requests in a router, independent of the transport: one task per request, until its response.

`forwarder` serves a request; `admission`, `attempts`, `prefill`, `worker_selection`, `retry_policy` and
`response_relay` are its steps; `ports` has the Protocols that transports implement.
"""
