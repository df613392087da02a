"""Stand-ins for the users' platform, on threads of the test: the store that the
nodes read, and the servers that they send requests to."""

import base64
import collections
import http.server
import json
import os
import random
import socket
import threading
import time
import urllib.parse

#: First two octets of all addresses; test runs with different ones can run
#: beside each other.
NETWORK = os.environ.get("SISKINSTAGE_TEST_NETWORK", "127.0")
STORE_PORT = 18600


class Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores errors: tests close connections on purpose."""


def serve(address, handler):
    listener = Listener(address, handler)
    threading.Thread(target=listener.serve_forever, args=(0.05,),
                     daemon=True).start()
    return listener


class Store:
    """The store: items with revisions, paged ranges, watches and outages."""

    PAGE_ITEMS = 3  # so few that a range of a few servers has several pages
    MUTE_S = 8      # longer than any call waits

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.compacted = 0  # revision up to which events are removed
        self.mode = "up"    # up, silent, mute, refuse, drop or endless
        self.endless_calls = 0
        self.rejected_addresses = set()  # nodes that get reject_status
        self.reject_status = 429
        self.delay_s = 0     # before each call is handled
        self.lost_share = 0  # of the calls, which get no response
        self.old_revision = None  # reads return this state, if it is set
        self.era = 1              # header of all responses, if it is set
        self.bare_prefix = None   # reads of this prefix have no such header
        self.calls = 0
        self.call_times = []  # (begin, end, node, path)
        self.whole_reads = collections.Counter()  # by node
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.handle(self)

            def log_message(self, *_):
                pass

        self.handler = Handler
        self.listeners = {}

    def address_for(self, node):
        """The store's address for a node. Each has its own, by which a call's
        node is known: all connections come from the same loopback address."""
        address = (f"{NETWORK}.2.{node.rsplit('.', 1)[-1]}", STORE_PORT)
        if address not in self.listeners:
            self.listeners[address] = serve(address, self.handler)
            self.listeners[address].node = node
        return address

    def stop(self):
        for listener in self.listeners.values():
            listener.shutdown()
            listener.server_close()

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.put_raw(key, base64.b64encode(raw).decode())

    def put_raw(self, key, encoded):
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": encoded,
                    "revision": self.revision, "created": 1, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision,
                                "removed": True})
            self.changed.notify_all()

    def compact(self):
        with self.changed:
            self.compacted = self.revision
            self.events.clear()
            self.changed.notify_all()

    def copy(self):
        """All that the store holds, for return_from."""
        with self.changed:
            return (dict(self.items), list(self.events), self.revision,
                    self.compacted)

    def go_away(self):
        self.set_mode("drop")

    def return_from(self, copy):
        """The store is back with the content of an older copy: what was written
        since is lost, and its revisions are assigned again. Returns the items
        that it had, for write_again."""
        with self.changed:
            newest = self.items
            items, events, self.revision, self.compacted = copy
            self.items, self.events = dict(items), list(events)
            self.era += 1
            self.mode = "up"
            self.changed.notify_all()
        return newest

    def write_again(self, newest, copy, prefix=""):
        """The operator and the servers write again what the copy lacks, unless
        they have written something newer; entries of departed servers lapse."""
        for key in self.lost_keys(newest, copy):
            if key.startswith(prefix):
                self.write_key_again(key, newest, copy)

    @staticmethod
    def lost_keys(newest, copy):
        """The keys of items that the copy has in another state, or lacks."""
        return sorted(key for key in {**copy[0], **newest}
                      if newest.get(key) != copy[0].get(key))

    def write_key_again(self, key, newest, copy):
        with self.changed:
            if self.items.get(key) != copy[0].get(key):
                return
            if key in newest:
                self.put_raw(key, newest[key]["value"])
            else:
                self.remove(key)

    def play_return(self, copy, away_s=0.6, rewrite_s=0.3, entries_s=1.5,
                    lapse_s=2):
        """The store is away and returns from the copy. Then the operator writes
        again after rewrite_s, the servers one after another until entries_s,
        and the entries of departed servers lapse after lapse_s."""
        self.go_away()
        time.sleep(away_s)
        newest = self.return_from(copy)
        returned = time.monotonic()
        lost = self.lost_keys(newest, copy)
        written = [key for key in lost if key in newest]
        step = (entries_s - rewrite_s) / max(1, len(written))
        times = [(rewrite_s + index * step, key)  # The operator's key is first.
                 for index, key in enumerate(written)]
        times += [(lapse_s, key) for key in lost if key not in newest]
        for due, key in times:
            time.sleep(max(0, returned + due - time.monotonic()))
            self.write_key_again(key, newest, copy)

    def set_mode(self, mode):
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def handle(self, call):
        self.calls += 1
        begin = time.monotonic()
        try:
            self.respond(call)
        finally:
            self.call_times.append((begin, time.monotonic(),
                                    call.server.node, call.path))

    def respond(self, call):
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.mode == "silent":
            time.sleep(1.5)
        elif self.mode == "mute":
            time.sleep(self.MUTE_S)
            call.close_connection = True
            return
        if self.mode != "up":
            call.close_connection = True
            if self.mode == "refuse":
                self.send(call, 503, {})
            elif self.mode == "endless":
                self.send_endless(call)
            return
        time.sleep(self.delay_s)
        if random.random() < self.lost_share:
            call.close_connection = True
        elif call.server.node in self.rejected_addresses:
            self.send(call, self.reject_status, {})
        elif url.path == "/api/kv-range":
            if not query.get("prefix") and not query.get("after"):
                self.whole_reads[call.server.node] += 1
            self.send(call, 200, self.range(query))
        elif url.path == "/api/kv-watch":
            self.watch(call, query)
        else:
            self.send(call, 404, {})

    def visible_items(self):
        """The newest items, or those of the old state."""
        if self.old_revision is None:
            return self.items
        items = {event["key"]: event for event in self.events
                 if event["revision"] <= self.old_revision}
        return {key: item for key, item in items.items()
                if not item.get("removed")}

    def range(self, query):
        with self.changed:
            items = self.visible_items()
            keys = sorted(key for key in items
                          if key.startswith(query.get("prefix", ""))
                          and key > query.get("after", ""))
            return {"items": [items[key] for key in keys[:self.PAGE_ITEMS]],
                    "has-more": len(keys) > self.PAGE_ITEMS,
                    "at": self.old_revision or self.revision}

    def watch(self, call, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                if after < self.compacted or after > self.revision:
                    body, status = {}, 410
                    break
                revision = self.old_revision or self.revision
                events = [e for e in self.events
                          if after < e["revision"] <= revision]
                left = deadline - time.monotonic()
                if events or left <= 0 or self.mode != "up":
                    body = {"events": events, "at": revision}
                    status = 200
                    break
                self.changed.wait(left)
        if self.mode == "up":
            self.send(call, status, body)
            return
        if self.mode == "mute":
            time.sleep(self.MUTE_S)
        call.close_connection = True

    def send_endless(self, call):
        """Sends bytes that are no response until the caller closes: in turn in
        the head, in a chunked body and in one with a length."""
        starts = (b"HTTP/1.1 200 OK\r\nA: ",
                  b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
        kind = self.endless_calls % len(starts)
        self.endless_calls += 1
        block = b"x" * 65536
        try:
            call.wfile.write(starts[kind])
            while self.mode == "endless":
                call.wfile.write(b"10000\r\n" + block + b"\r\n"
                                 if kind == 1 else block)
        except OSError:
            pass  # The caller has closed the connection.

    def send(self, call, status, body):
        text = json.dumps(body).encode()
        call.send_response(status)
        call.send_header("Content-Type", "application/json")
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(call.path).query)
        bare = query.get("prefix") == [self.bare_prefix]
        if self.era is not None and not bare:
            call.send_header("Store-Era", str(self.era))
        call.send_header("Content-Length", str(len(text)))
        call.end_headers()
        call.wfile.write(text)


class Server:
    """A server. Its fields control how it handles requests."""

    def __init__(self, index, service, zone):
        self.id = f"i-{service}-{index}"
        self.service = service
        self.zone = zone
        self.address = (f"{NETWORK}.3.1", 18700 + index)
        self.work_s = 0.02
        self.born = 1700000000000  # start of its process, in milliseconds
        self.seq = 0               # number of its writes to the store
        # normal, hang, shed, unsealed, error, reset, encoded, stall, cut or
        # busy
        self.behaviour = "normal"
        self.sends_second_response = False
        self.notices = {}  # headers of all responses, by name
        self.stated = []   # (time, attempt id, status, notices) of responses
        self.runs = []  # (attempt id, method, path, body) of each run
        self.headers = []
        self.header_lines = []  # (name, value) of all requests, also repeated
        self.arrivals = 0
        self.arrival_times = []  # (time.monotonic(), attempt id)
        self.connections = 0
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                server.connections += 1

            def do_GET(self):
                server.handle(self)

            do_POST = do_GET

            def log_message(self, *_):
                pass

        self.listener = serve(self.address, Handler)

    def stop(self):
        self.listener.shutdown()
        self.listener.server_close()

    def entry(self, state="ready", **changes):
        """The entry that the server writes to the store next."""
        self.seq += 1
        entry = {"address": f"{self.address[0]}:{self.address[1]}",
                 "born": self.born,
                 "details": {"service": self.service, "version": "v1",
                             "zone": self.zone, "slots": 3},
                 "status": {"state": state, "seq": self.seq,
                            "warmup-left-s": 0}}
        entry.update(changes)
        return entry

    def handle(self, call):
        length = int(call.headers.get("Content-Length") or 0)
        body = call.rfile.read(length)
        self.arrivals += 1
        self.headers.append(dict(call.headers))
        self.header_lines.append(call.headers.items())
        attempt = call.headers.get("Attempt-Id", "")
        self.arrival_times.append((time.monotonic(), attempt))
        if call.headers.get("Expect-Instance", self.id) != self.id:
            self.reply(call, 421, attempt, {"Instance-Id": "i-other"})
            return
        if self.behaviour == "shed":
            self.reply(call, 503, attempt, {"Not-Executed": "1"})
            return
        self.runs.append((attempt, call.command, call.path, body))
        if self.behaviour == "hang":
            time.sleep(8)
            call.close_connection = True
            return
        time.sleep(self.work_s)
        if self.behaviour == "reset":
            call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       b"\x01\x00\x00\x00\x00\x00\x00\x00")
            call.close_connection = True
            return
        self.finish(call, attempt)

    def finish(self, call, attempt):
        seal = {"Server-Seal": f"seal.{self.id}", "Server-Load": "1,0,3"}
        if self.behaviour == "unsealed":
            self.reply(call, 200, attempt, {})
        elif self.behaviour == "error":
            self.reply(call, 500, attempt, seal)
        elif self.behaviour == "busy":
            self.reply(call, 503, attempt, seal)
        elif self.behaviour == "encoded":
            self.reply(call, 200, attempt, dict(seal, **{
                "Content-Encoding": "gzip"}))
        elif self.behaviour == "stall":
            self.reply(call, 200, attempt, seal, content_length=1000)
            time.sleep(8)
            call.close_connection = True
        elif self.behaviour == "cut":
            self.reply(call, 200, attempt, seal, content_length=1000)
            call.close_connection = True
        else:
            self.reply(call, 200, attempt, seal)
            if self.sends_second_response:
                time.sleep(0.05)
                self.reply(call, 200, attempt, seal)

    def reply(self, call, status, attempt, headers, content_length=None):
        body = f"from {self.id}".encode()
        if self.notices:
            self.stated.append((time.monotonic(), attempt, status,
                                dict(self.notices)))
        call.send_response(status)
        call.send_header("Attempt-Id", attempt)
        for name, value in {**self.notices, **headers}.items():
            call.send_header(name, value)
        call.send_header("Content-Length", str(content_length or len(body)))
        call.end_headers()
        call.wfile.write(body)
        call.wfile.flush()
