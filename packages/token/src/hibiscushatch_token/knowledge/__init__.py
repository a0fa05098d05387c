"""The configuration and upstreams: read from the store, shared among peers."""
