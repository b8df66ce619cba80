"""Control decisions: admission, placement, retries, membership, distribution."""
