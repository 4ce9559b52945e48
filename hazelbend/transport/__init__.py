"""The sockets: client connections, requests to backends, the discovery watch, STOMP, SNMP."""
