"""Messages between daemons, and the forms HTTP callers see."""
