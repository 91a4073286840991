"""Shared schema, settings and pure decisions of wisterialug."""
