"""Pure decisions: clock, randomness and inputs come in, actions go out."""
