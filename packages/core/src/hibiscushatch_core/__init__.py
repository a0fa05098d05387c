"""Decision logic, data types and interfaces that all packages share."""
