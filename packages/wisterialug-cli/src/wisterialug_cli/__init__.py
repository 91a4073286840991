"""The operators' command line of wisterialug."""
