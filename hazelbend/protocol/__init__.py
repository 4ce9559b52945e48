"""Pure codecs: bytes in, values out. No sockets, no clock."""
