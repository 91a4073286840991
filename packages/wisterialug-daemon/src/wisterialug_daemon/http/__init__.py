"""HTTP interfaces for callers, operators and monitoring."""
