"""Mutation tests: deliberate faults in the mechanisms behind each promise."""
