"""Starts and stops a fleet of processes on loopback: the platform stand-in,
target stand-ins, nodes and, optionally, the fault proxy. Used by benches,
integration tests and the demo."""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("SISKINSTAGE_BUILD", ROOT / "build"))
FLEET_KEYS = "k1:00112233445566778899aabbccddeeff"
PLATFORM_PORT = 10000
FAULT_CONTROL_PORT = 10001
TARGET_CONTROL_PORT = 10100
# First ports of ranges: the instance's index is added.
TARGET_PORT = 10500
NODE_PORT = 12000
OPERATOR_PORT = 14000
FAULT_PROXY_PORT = 16000
READY_SECONDS = 30  # limit for a node to be ready and to see all members


def send_request(port, method, path, body=None, timeout=10, headers=None):
    """Sends an HTTP request to a loopback port on a new connection; returns the
    status and the body as text. The timeout is in seconds."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode(errors="replace")
    finally:
        connection.close()


def read_records(path):
    """Reads the records of a JSON file, or of all files in a folder. Lines that
    start with // are comments."""
    path = pathlib.Path(path)
    files = sorted(path.iterdir()) if path.is_dir() else [path]
    records = []
    for file in files:
        text = re.sub(r"^\s*//.*$", "", file.read_text(), flags=re.M)
        parsed = json.loads(text)
        records += parsed if isinstance(parsed, list) else [parsed]
    return records


def wait_for(condition, seconds, description):
    """Polls until condition() is true. Raises RuntimeError with the description
    after the time limit. Connection and HTTP errors count as false."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.02)
    raise RuntimeError(f"timed out after {seconds} s waiting for {description}")


def port_open(port):
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex(("127.0.0.1", port)) == 0


class Fleet:
    """The processes of one run, as a context manager.

    example: folder under examples/ that the records are read from
    nodes: number of nodes
    log_dir: folder of the processes' logs; out/logs if None
    records: replaces the records of the example
    slots: maximum number of concurrent requests of each target
    through_fault_proxy: nodes reach the targets through the fault proxy
    node_flags: further command line flags of each node
    """

    def __init__(self, example="nl-west", nodes=1, log_dir=None, records=None,
                 slots=3, log_level="info", through_fault_proxy=False,
                 node_flags=()):
        self.example = example
        self.records = records or read_records(ROOT / "examples" / example)
        self.node_count = nodes
        self.slots = slots
        self.log_level = log_level
        self.through_fault_proxy = through_fault_proxy
        self.node_flags = node_flags
        self.log_dir = pathlib.Path(log_dir or ROOT / "out" / "logs")
        self.processes = {}
        self.target_index = {}  # index by the target's address in its record
        self.target_service = []  # service name by target index
        self.domains = []
        self.fault_links = []

    def __enter__(self):
        self.log_dir.mkdir(parents=True, exist_ok=True)
        try:
            self.start_targets()
            self.start_platform()
            self.publish_instances()
            for index in range(self.node_count):
                self.start_node(index)
            self.await_ready(range(self.node_count))
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Processes ------------------------------------------------------------

    def spawn(self, name, command):
        log = open(self.log_dir / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(argument) for argument in command], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    # Targets and platform ---------------------------------------------------

    def start_targets(self):
        for record in self.records:
            if record["kind"] != "service":
                continue
            for target in record["targets"]:
                index = len(self.target_service)
                address = target if isinstance(
                    target, str) else target["address"]
                if not isinstance(target, str):
                    domain = target.get("domain", "")
                    if domain and domain not in self.domains:
                        self.domains.append(domain)
                self.target_index[address] = index
                self.target_service.append(record["name"])
        self.domains = self.domains or ["domain-a", "domain-b"]
        count = len(self.target_service)
        self.spawn("targets", [
            BUILD / "tests/standin-target",
            f"--control=127.0.0.1:{TARGET_CONTROL_PORT}",
            f"--first={TARGET_PORT}", f"--count={count}",
            f"--slots={self.slots}"])
        wait_for(lambda: port_open(TARGET_CONTROL_PORT), 10,
                 "the target stand-ins")
        if self.through_fault_proxy:
            self.fault_links = [
                (FAULT_PROXY_PORT + i, TARGET_PORT + i) for i in range(count)]
            links = ",".join(
                f"tcp:127.0.0.1:{listen_port}>127.0.0.1:{target_port}"
                for listen_port, target_port in self.fault_links)
            self.spawn("fault", [
                BUILD / "tests/standin-fault",
                f"--control=127.0.0.1:{FAULT_CONTROL_PORT}",
                f"--links={links}"])
            wait_for(lambda: port_open(FAULT_CONTROL_PORT), 10,
                     "the fault proxy")

    def local_address(self, address):
        first = FAULT_PROXY_PORT if self.through_fault_proxy else TARGET_PORT
        return f"127.0.0.1:{first + self.target_index[address]}"

    def with_local_addresses(self, record):
        """A copy of the record with its targets' addresses on loopback."""
        record = dict(record)
        if record["kind"] == "service":
            record["targets"] = [
                self.local_address(t) if isinstance(t, str)
                else dict(t, address=self.local_address(t["address"]))
                for t in record["targets"]]
        return record

    def start_platform(self):
        self.spawn("platform", [BUILD / "tests/standin-platform",
                                f"--listen=127.0.0.1:{PLATFORM_PORT}"])
        wait_for(lambda: port_open(PLATFORM_PORT), 10,
                 "the platform stand-in")
        self.publish([self.with_local_addresses(r) for r in self.records])

    def publish(self, records):
        status, _ = send_request(PLATFORM_PORT, "POST", "/control/records",
                                 json.dumps(records))
        assert status == 200

    def set_platform_mode(self, query):
        send_request(PLATFORM_PORT, "POST", f"/control/mode?{query}")

    def platform_calls(self):
        return json.loads(send_request(PLATFORM_PORT, "GET",
                                       "/control/calls")[1])

    def publish_instances(self, leaving_targets=(), leaving_nodes=(),
                          omitted_nodes=()):
        instances = []
        for index in range(self.node_count):
            if index in omitted_nodes:
                continue
            instances.append({
                "id": f"node-{index}", "role": "node",
                "address": self.node_address(index),
                "domain": self.domain_of(index),
                "state": "leaving" if index in leaving_nodes else "live"})
        first = FAULT_PROXY_PORT if self.through_fault_proxy else TARGET_PORT
        for index in range(len(self.target_service)):
            instances.append({
                "id": f"target-{index}", "role": "target",
                "address": f"127.0.0.1:{first + index}",
                "state": "leaving" if index in leaving_targets else "live"})
        send_request(PLATFORM_PORT, "POST", "/control/instances",
                     json.dumps(instances))

    def set_behaviour(self, target, query):
        """Sets fields of the target stand-in's TargetBehaviour."""
        send_request(TARGET_CONTROL_PORT, "POST",
                     f"/behave?target={target}&{query}")

    def set_leaving(self, target, leaving=1):
        """Starts (1) or ends (0) the draining of the target stand-in."""
        send_request(TARGET_CONTROL_PORT, "POST",
                     f"/leaving?target={target}&on={leaving}")

    def ledger(self):
        """Runs by work id over all targets; survives their crashes."""
        return json.loads(send_request(TARGET_CONTROL_PORT, "GET", "/ledger",
                                       timeout=60)[1])

    def target_stats(self):
        return json.loads(send_request(TARGET_CONTROL_PORT, "GET",
                                       "/stats")[1])

    def take_work_times(self, target):
        """Start times of the target's work, in seconds on the boot clock, since
        the last call."""
        text = send_request(TARGET_CONTROL_PORT, "GET",
                            f"/work?target={target}")[1]
        return [ms / 1000 for ms in json.loads(text)]

    def take_arrival_times(self, target):
        """The same for all requests that arrived, including those shed."""
        text = send_request(TARGET_CONTROL_PORT, "GET",
                            f"/arrivals?target={target}")[1]
        return [ms / 1000 for ms in json.loads(text)]

    def set_fault(self, link, query):
        """Sets the fault rule of a link of the fault proxy, or of all."""
        send_request(FAULT_CONTROL_PORT, "POST", f"/rule?link={link}&{query}")

    # Nodes -----------------------------------------------------------------

    def domain_of(self, index):
        return self.domains[index % len(self.domains)]

    def node_address(self, index):
        return f"127.0.0.1:{NODE_PORT + index}"

    def start_node(self, index):
        self.spawn(f"node-{index}", [
            BUILD / "siskinstaged",
            f"--listen={self.node_address(index)}",
            f"--operator_listen=127.0.0.1:{OPERATOR_PORT + index}",
            f"--platform=127.0.0.1:{PLATFORM_PORT}",
            f"--id=node-{index}", f"--domain={self.domain_of(index)}",
            f"--fleet_keys={FLEET_KEYS}", f"--log_level={self.log_level}",
            *self.node_flags])

    def is_ready(self, index):
        status, _ = send_request(OPERATOR_PORT + index, "GET", "/readyz",
                                 timeout=2)
        return status == 200

    def await_ready(self, indexes):
        """Waits until the nodes are ready and see all running nodes as live."""
        for index in indexes:
            wait_for(lambda: self.is_ready(index), READY_SECONDS,
                     f"node {index} to be ready")
        running = sum(1 for name, process in self.processes.items()
                      if name.startswith("node-") and process.poll() is None)
        for index in indexes:
            wait_for(lambda: self.state(index)["gossip"]["live"] >= running,
                     READY_SECONDS,
                     f"node {index} to see {running} live members")

    def await_quiet_gossip(self, seconds=240):
        """Waits until no node has updates left to broadcast."""
        wait_for(lambda: not any(self.state(i)["gossip"]["news"]
                                 for i in range(self.node_count)), seconds,
                 "all membership updates to be broadcast")

    def state(self, index):
        return json.loads(send_request(OPERATOR_PORT + index, "GET",
                                       "/state")[1])

    def metrics(self, index):
        return send_request(OPERATOR_PORT + index, "GET", "/metrics")[1]

    def node_list(self, indexes=None):
        """Comma-separated addresses of the nodes."""
        return ",".join(self.node_address(i)
                        for i in (indexes or range(self.node_count)))

    def target_list(self, service):
        """Comma-separated addresses of the service's targets."""
        return ",".join(f"127.0.0.1:{TARGET_PORT + i}"
                        for i, name in enumerate(self.target_service)
                        if name == service)

    def targets_of(self, service):
        return [i for i, name in enumerate(self.target_service)
                if name == service]

    def pid(self, name):
        return self.processes[name].pid


def process_usage(pid):
    """Resident bytes and CPU seconds of a process."""
    fields = pathlib.Path(
        f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    # utime, stime and rss, see proc(5); the fields begin with the state.
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return (pages * os.sysconf("SC_PAGE_SIZE"),
            ticks / os.sysconf("SC_CLK_TCK"))


def start_load(**flags):
    """Starts siskinload; finish_load returns its results. Flags that are True
    are passed without a value."""
    command = [str(BUILD / "siskinload")]
    for name, value in flags.items():
        if value is True:
            command.append(f"--{name}")
        else:
            command.append(f"--{name}={value}")
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def finish_load(process):
    """Waits for siskinload to exit; returns its JSON output."""
    output, _ = process.communicate()
    return json.loads(output)


def run_load(**flags):
    return finish_load(start_load(**flags))
