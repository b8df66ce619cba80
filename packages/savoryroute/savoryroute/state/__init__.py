"""What a daemon knows: documents, members, ledger, audit trail."""
