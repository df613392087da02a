"""A server of which a test decides each byte that it sends."""

import socket
import threading


class RawServer:
    """Takes the place of a server. A script decides which bytes it sends.

    received: the bytes of each request, and what came with it
    runs: ids of the attempts that the script has run
    reads_bodies: whether the script runs after the body of a request, not after
        its head
    """

    def __init__(self, server):
        self.id = server.id
        self.received = []
        self.runs = []
        self.reads_bodies = True
        self.script = None
        server.stop()
        self.listener = socket.create_server(server.address)
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)  # ends accept()
        self.listener.close()

    def accept(self):
        while True:
            try:
                peer, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(peer,),
                             daemon=True).start()

    def serve(self, peer):
        previous = None
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with peer:
            while True:
                attempt = self.read(peer)
                if attempt is None or not self.script(peer, attempt, previous):
                    return
                previous = attempt

    def read(self, peer):
        """Reads a request; returns its attempt id, or None at the end."""
        text = b""
        try:
            while b"\r\n\r\n" not in text:
                part = peer.recv(65536)
                if not part:
                    return None
                text += part
            head, body = text.split(b"\r\n\r\n", 1)
            fields = dict(line.lower().split(": ", 1) for line in
                          head.decode().split("\r\n")[1:])
            length = int(fields.get("content-length", 0))
            while self.reads_bodies and len(body) < length:
                body += peer.recv(65536)
        except OSError:
            return None
        self.received.append(head + b"\r\n\r\n" + body)
        return fields["attempt-id"]

    def refusal(self, attempt):
        named = f"Attempt-Id: {attempt}\r\n" if attempt else ""
        return (f"HTTP/1.1 503 Busy\r\n{named}Not-Executed: 1\r\n"
                "Content-Length: 4\r\n\r\nbusy").encode()

    def response(self, attempt):
        body = f"from {self.id}"
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                f"Server-Seal: seal.{self.id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
