"""Which upstreams serve, judged from the packets of callers."""
