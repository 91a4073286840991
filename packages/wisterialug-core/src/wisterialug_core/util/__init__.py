"""Small helpers that several packages need."""
