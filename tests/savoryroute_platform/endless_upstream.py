"""Upstream that sends bytes that are no whole answer until its caller closes.

Runs as a process of its own: ``python endless_upstream.py IP PORT``. The last part of
a request's path names the fault.
"""

from __future__ import annotations

import socket
import sys
import threading

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"b" * 65536
CHUNK = b"10000\r\n" + BODY + b"\r\n"
TRAILERS = b"A: b\r\n" * 10_000
ANSWER = HEAD + b"Content-Length: 19\r\n\r\nanswer to ID"
# First bytes of an answer, and the bytes that follow until the connection is closed.
FAULTS = {
    "header-line": (HEAD + b"A: ", BODY),
    "header-lines": (HEAD, TRAILERS),
    "no-http": (b"", BODY),
    "informational": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "chunk-extension": (CHUNKED + b"4;", BODY),
    "after-the-answer": (ANSWER, BODY),
    "other-answers": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno" * 1000,
    ),
    "many-answers": (b"", ANSWER * 1000),
    "body-without-length": (HEAD + b"\r\n", BODY),
    "body-of-900-GB": (HEAD + b"Content-Length: 900000000000\r\n\r\n", BODY),
    "chunks": (CHUNKED, CHUNK),
    "chunks-of-one-byte": (CHUNKED, b"1\r\na\r\n" * 10_000),
    "trailers-after-4-MB": (CHUNKED + CHUNK * 64 + b"0\r\n", TRAILERS),
    "trailer-line-after-8-MB": (CHUNKED + CHUNK * 128 + b"0\r\nA: ", BODY),
}
# Lengths in bytes of whole answers; their connections stay open.
SOUND = {"long-answer": 15_000_000, "short-answer": 2}


def endless_answer(name: str, request_id: bytes) -> tuple[bytes, bytes]:
    """Return the first bytes of an answer and those that follow without end.

    Args:
        name: Name of the fault.
        request_id: Identity of the request, of nine bytes as the tests' callers send.
    """
    first, repeated = FAULTS[name]
    return first.replace(b"ID", request_id), repeated.replace(b"ID", request_id)


def read_head(connection: socket.socket) -> bytes:
    """Return the head of a request, empty at the end of the connection."""
    head = b""
    while b"\r\n\r\n" not in head:
        data = connection.recv(65536)
        if not data:
            return b""
        head += data
    return head


def serve(connection: socket.socket) -> None:
    """Answer the requests of one connection."""
    try:
        while head := read_head(connection):
            lines = head.decode("latin-1").split("\r\n")
            fields = dict(
                line.lower().split(": ", 1) for line in lines[1:] if ": " in line
            )
            request_id = fields["request-id"].encode()
            name = lines[0].split(" ")[1].rsplit("/", 1)[1]
            if name in SOUND:
                n_bytes = SOUND[name]
                length = b"Content-Length: %d\r\n\r\n" % n_bytes
                connection.sendall(HEAD.replace(b"ID", request_id) + length)
                connection.sendall(b"b" * n_bytes)
                continue
            first, repeated = endless_answer(name, request_id)
            connection.sendall(first)
            while True:
                connection.sendall(repeated)
    except OSError:
        pass
    finally:
        connection.close()


def main() -> None:
    """Listen until the process is ended."""
    listener = socket.create_server((sys.argv[1], int(sys.argv[2])), backlog=128)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
