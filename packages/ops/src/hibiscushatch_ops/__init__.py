"""The ops package of hibiscushatch."""
