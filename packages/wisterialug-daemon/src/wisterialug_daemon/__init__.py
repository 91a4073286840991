"""The entry VM daemon of wisterialug."""
