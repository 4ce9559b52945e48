"""The STOMP listener, its clients and its workers."""
