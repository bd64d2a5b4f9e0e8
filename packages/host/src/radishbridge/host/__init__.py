"""The daemon ``radishbridged``: HTTP listeners, request forwarding and composition."""
