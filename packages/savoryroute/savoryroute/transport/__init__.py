"""Connections: WebSocket, length-prefixed frames, HTTP and the platform's client."""
