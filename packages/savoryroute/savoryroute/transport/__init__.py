"""Byte streams: WebSocket links and HTTP connections."""
