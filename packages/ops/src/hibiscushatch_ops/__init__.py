"""The operators' command line and the load generator of hibiscushatch."""
