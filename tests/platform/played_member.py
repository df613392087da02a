"""A member of the fleet that a test plays itself."""

import hashlib
import hmac
import itertools
import json
import socket
import time

from platform_fleet import CONTROL

#: The public key of siskinstage-platform.
SECRET = b"siskinstage-platform-fleet-key\x00\x01"
GOSSIP_CONTEXT = b"siskinstage gossip 1 "
MAC_BYTES = 16
ALIVE = 0


def mac_of(data):
    return hmac.new(SECRET, data, hashlib.sha256).digest()[:MAC_BYTES].hex()


class PlayedMember:
    """Sends gossip from an address of its own; accepts connections without ever
    responding. A context manager."""

    def __init__(self, address, domain):
        self.endpoint = f"{address}:{CONTROL}"
        self.domain = domain
        self.process = time.time_ns()
        self.counter = itertools.count(1)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((address, CONTROL))
        self.datagrams.settimeout(0.1)
        self.listener = socket.create_server((address, CONTROL), backlog=128)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.datagrams.close()
        self.listener.close()

    def send(self, node, body):
        member = [self.endpoint, "played", self.domain, self.process,
                  int(time.time() * 1000), ALIVE, "", 0, False]
        message = {"jsonrpc": "2.0", "method": "gossip",
                   "params": {"m": {"f": member, "d": 0, "m": 0, **body}}}
        payload = json.dumps(message).encode()
        header = (f"{self.process} {next(self.counter)} "
                  f"{int(time.time() * 1000)} ").encode()
        mac = mac_of(GOSSIP_CONTEXT + header + payload)
        self.datagrams.sendto(header + mac.encode() + b"\n" + payload,
                              (node, CONTROL))

    def join(self, node):
        """Pings a node, which then takes it for a member."""
        self.send(node, {"k": "ping", "s": 1})

    def received(self, seconds):
        """The datagrams that arrive meanwhile."""
        end, datagrams = time.monotonic() + seconds, []
        while time.monotonic() < end:
            try:
                datagrams.append(self.datagrams.recv(65536))
            except TimeoutError:
                pass
        return datagrams

    def announce(self, node, kind, name, revision):
        """Announces a record that is too long for a message.

        kind: its number in the code of gossip messages
        revision: its number, epoch and writer's version
        """
        number, epoch, writer = revision
        self.send(node, {"k": "record", "c": kind, "n": name, "x": "",
                         "r": number, "r_epoch": epoch, "r_writer": writer})
