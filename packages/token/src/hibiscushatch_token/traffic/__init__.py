"""From a packet of a caller to an upstream."""
