"""Judges the health of upstreams from the packets of callers."""
