"""A backend as a process of its own, so that a script can stop it (SIGSTOP). Prints its address, then what it does.

Arguments: its name, how many seconds a request takes, and the size of its receive buffers in bytes.
"""

import sys
import time

import rig


class Backend(rig.Backend):
    def arrives(self, request_id, length):
        self.record(f"head of {request_id}")


backend = Backend(sys.argv[1], lambda text: print(text, flush=True), float(sys.argv[2]), int(sys.argv[3]))
print(backend.address, flush=True)
while True:
    time.sleep(3600)
