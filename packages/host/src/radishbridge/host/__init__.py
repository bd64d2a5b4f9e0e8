"""The daemon ``radishbridged``: HTTP front, forwarding, composition."""
