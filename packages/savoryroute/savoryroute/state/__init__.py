"""State of a daemon: documents, members, ledger, audit trail."""
