"""The node package of hibiscushatch."""
