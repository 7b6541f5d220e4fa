"""Decisions and state of leadford: no input, no output and no clock of their own."""
