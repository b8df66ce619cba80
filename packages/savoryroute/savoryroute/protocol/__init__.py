"""Frames between daemons, and HTTP towards callers, operators and upstreams."""
