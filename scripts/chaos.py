"""A thread that disturbs a running fleet until it is told to end."""

import random
import threading


class Chaos(threading.Thread):
    """Base of the benches' disturbances; run() must watch self.ended."""

    def __init__(self, fleet, seed):
        super().__init__()
        self.fleet = fleet
        self.dice = random.Random(seed)
        self.ended = threading.Event()

    def finish(self):
        self.ended.set()
        self.join()
