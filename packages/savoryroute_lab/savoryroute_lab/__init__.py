"""Stand-ins for the systems around savoryroute, load and experiments."""
