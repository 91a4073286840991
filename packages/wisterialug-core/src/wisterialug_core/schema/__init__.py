"""Code generated from schema/; regenerate with schema/generate.sh."""
