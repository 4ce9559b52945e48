"""The SNMP agent."""
