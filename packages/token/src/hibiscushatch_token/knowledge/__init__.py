"""Configuration and upstreams: read from the store, passed on by peers."""
