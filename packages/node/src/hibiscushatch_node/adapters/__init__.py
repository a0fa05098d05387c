"""Adapters of the core's ports over real sockets."""
