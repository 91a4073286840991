"""The operator command line of wisterialug."""
