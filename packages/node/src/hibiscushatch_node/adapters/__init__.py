"""Adapters of the entry VM: sockets, HTTP and the platform."""
