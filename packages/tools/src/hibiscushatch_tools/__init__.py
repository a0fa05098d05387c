"""Stand-ins, scenarios, measurements and the demo of hibiscushatch."""
