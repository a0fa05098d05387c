"""The core package of hibiscushatch."""
