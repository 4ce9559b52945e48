"""Request routing: requests, their attempts and the table of backends, independent of any wire protocol."""
