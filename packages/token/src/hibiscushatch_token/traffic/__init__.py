"""Takes packets of callers in and forwards them to upstreams."""
