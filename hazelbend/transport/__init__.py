"""The sockets: edge connections, links to real servers, the discovery watch, STOMP, SNMP."""
