"""Stand-ins for the systems around savoryroute, a load generator and experiments."""
