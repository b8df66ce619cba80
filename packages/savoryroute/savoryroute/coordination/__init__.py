"""Decisions: admission, placement, retries, membership, distribution."""
