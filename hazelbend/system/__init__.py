"""The processes of the router fleet: settings, daemons and command line."""
