"""The tools package of hibiscushatch."""
