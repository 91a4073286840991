"""Decision logic without I/O: takes clock and randomness, returns actions."""
