"""A thread that injects faults into a running fleet until it is stopped."""

import random
import threading


class FaultInjector(threading.Thread):
    """Base of the benches' fault injectors; run() must watch self.stopping."""

    def __init__(self, fleet, seed):
        super().__init__()
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.stopping = threading.Event()

    def stop(self):
        self.stopping.set()
        self.join()
