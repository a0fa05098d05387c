"""Adapters of the entry VM to sockets, HTTP and the platform."""
