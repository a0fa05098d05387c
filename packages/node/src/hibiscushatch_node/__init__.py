"""The entry VM of hibiscushatch: its packet routing and its daemon."""
