"""Runs siskinstage-platform nodes as processes on loopback, in front of the
stand-ins. Each node has its own address; the ports are the same. The command is
that of the deploy file, filled in as the platform does."""

import http.client
import json
import pathlib
import re
import shlex
import signal
import subprocess
import tomllib

from fleet import BUILD, ROOT, wait_for
from platform_standins import NETWORK, Server, Store

FRONT, READY, CONTROL, DIRECTORY, OPERATOR = 18500, 18501, 18502, 18503, 18504
DOMAINS = ("za", "zb")
HOST = "shop.example"
BOUNDS = {"drain-s": 2, "grace-s": 6, "config-apply-s": 2,
          "retry-budget-ratio": 0.2, "retry-burst": 56}
REQUEST_ID, API_KEY, ACCOUNT_NAME = "Attempt-Id", "X-Api-Key", "Tenant-Name"


def route(prefix, service, kind="safe", timeout=1.5, **more):
    return dict({"host": HOST, "prefix": prefix, "kind": kind,
                 "timeout-s": timeout, "target-latency-s": 1, "priority": 1,
                 "max-attempts": 2, "service": service}, **more)


def account(*keys, **limits):
    """A client account with its API keys; the limits are priority, rate_per_s
    and burst."""
    return {"api-keys": list(keys),
            **{name.replace("_", "-"): value for name, value in limits.items()}}


def key_field(name, index):
    """The field of an account's API key, as log lines name it."""
    return f"tenants.{name}.api-keys[{index}]"


def fill_in(word, values):
    """A word of a command with its placeholders filled in: lists are joined by
    commas, tables are rendered as JSON."""
    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = (value[int(part)] if isinstance(value, list)
                     else value[part])
        if isinstance(value, list):
            return ",".join(map(str, value))
        if isinstance(value, dict):
            return json.dumps(value, separators=(",", ":"))
        return str(value)
    return re.sub(r"{{(.*?)}}", value_of, word)


def deployed_flags(values):
    """The flags of the deploy file."""
    with open(ROOT / "deploy/system.toml", "rb") as file:
        command = tomllib.load(file)["roles"]["entry"]["run"]
    return [fill_in(word, values) for word in shlex.split(command)[1:]]


def exchange(connection, path, method="GET", body=None, headers=None):
    """Sends a request on a connection, which is opened if it is closed; returns
    status, headers and body."""
    connection.request(method, path, body, headers or {})
    response = connection.getresponse()
    return response.status, response.headers, response.read().decode()


def fetch(address, port, path, method="GET", body=None, headers=None,
          timeout=8):
    """Sends a request on a new connection; returns status, headers and body."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        return exchange(connection, path, method, body, headers)
    finally:
        connection.close()


class PlatformFleet:
    """Store, servers and nodes of a test, as a context manager."""

    def __init__(self, nodes=4, servers=3, services=("reads", "orders"),
                 node_flags=(), bounds=BOUNDS):
        self.store = Store()
        self.servers = [
            Server(i, services[i % len(services)], DOMAINS[i // 2 % 2])
            for i in range(servers * len(services))]
        self.nodes = [f"{NETWORK}.1.{i + 1}" for i in range(nodes)]
        self.version = 5
        self.services = services
        self.node_flags = node_flags
        self.bounds = bounds
        self.processes = {}
        self.logs = ROOT / "out" / "logs"
        self.attempts = 0

    def __enter__(self):
        self.logs.mkdir(parents=True, exist_ok=True)
        for server in self.servers:
            self.register(server)
        # A configuration with a route to a service that it doesn't list is
        # rejected as a whole.
        routes = {"r1": route("/reads/", "reads"),
                  "r2": route("/orders/", "orders", "unsafe", 2)}
        self.configure({name: entry for name, entry in routes.items()
                        if entry["service"] in self.services})
        try:
            for node in self.nodes:
                self.start(node)
            for node in self.nodes:
                self.await_ready(node)
            for node in self.nodes:
                wait_for(lambda n=node: len(self.members(n)) == len(self.nodes),
                         10, f"all members at {node}")
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server.stop()
        self.store.stop()

    # Store -------------------------------------------------------------------

    def register(self, server, **changes):
        self.store.put(f"servers/{server.id}", server.entry(**changes))

    def add_server(self, service, zone):
        """A further server, which is not registered yet."""
        server = Server(len(self.servers), service, zone)
        self.servers.append(server)
        return server

    def configure(self, routes, accounts=None, **changes):
        """Puts a new configuration into the store. With accounts, a table by
        name, requests need an API key."""
        self.version += 2
        config = {"version": f"{self.version:08x}", "routes": routes,
                  "services": {name: {"health-path": "/health"}
                               for name in self.services},
                  "limits": {}}
        if accounts is not None:
            config["tenants"] = accounts
        self.store.put("op/config", {**config, **changes})

    def of_service(self, name):
        return [server for server in self.servers if server.service == name]

    # Nodes -------------------------------------------------------------------

    def settings(self, node):
        """The fields of the platform's settings that the deploy file uses."""
        index = self.nodes.index(node)
        return {
            "node": f"node-{index}", "zone": DOMAINS[index % 2], "region": "r",
            "ip": node, "bounds": self.bounds,
            "listen": {"front": f"{node}:{FRONT}", "ready": f"{node}:{READY}",
                       "control": f"{node}:{CONTROL}",
                       "directory": f"{node}:{DIRECTORY}"},
            "port-range": [OPERATOR, OPERATOR],
            "seeds": [f"{seed}:{CONTROL}" for seed in self.nodes[:2]],
            "limits": {"cpu-share": 0.2},
            "platform": {"address": "%s:%d" % self.store.address_for(node)}}

    def start(self, node):
        index = self.nodes.index(node)
        log = open(self.logs / f"platform-node-{index}.log", "ab")
        self.processes[node] = subprocess.Popen(
            [str(BUILD / "siskinstage-platform"),
             *deployed_flags(self.settings(node)),
             "--accept_linger_ms=300", "--shutdown_limit_ms=4000",
             *self.node_flags],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def log_of(self, node):
        index = self.nodes.index(node)
        return pathlib.Path(self.logs / f"platform-node-{index}.log").read_text()

    def signal(self, node, number):
        self.processes[node].send_signal(number)

    def is_ready(self, node):
        return fetch(node, READY, "/api/ready")[0] == 200

    def await_ready(self, node):
        wait_for(lambda: self.is_ready(node), 10, f"readiness of {node}")

    def members(self, node):
        state = json.loads(fetch(node, OPERATOR, "/state")[2])
        return range(state["gossip"]["live"])

    def resolve(self, node, zone):
        status, _, body = fetch(node, DIRECTORY, f"/api/resolve?name={HOST}"
                              f"&region=r&zone={zone}")
        return json.loads(body)["addresses"] if status == 200 else []

    def request(self, path, node=None, method="GET", body=None,
                deadline_ms=5000, attempt=None, connection=None, key=None,
                headers=None):
        """Sends a request to a node, on the given connection or a new one, with
        an API key if one is given, and with further headers."""
        self.attempts += 1
        headers = {"Host": HOST, "Deadline-Remaining": str(deadline_ms),
                   "Attempt-Id": attempt or f"a{self.attempts:08x}",
                   **(headers or {})}
        if key is not None:
            headers[API_KEY] = key
        if connection:
            return exchange(connection, path, method, body, headers)
        return fetch(node or self.nodes[0], FRONT, path, method, body, headers)

    def state(self, node):
        return json.loads(fetch(node, OPERATOR, "/state")[2])

    def connection(self, node):
        """A connection that is kept for several requests."""
        return http.client.HTTPConnection(node, FRONT, timeout=8)
