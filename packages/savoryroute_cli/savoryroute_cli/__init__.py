"""Command line for operators and callers of savoryroute."""
