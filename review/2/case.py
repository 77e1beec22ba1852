"""A long keyed request whose backend hangs while the body is on its way: is it ever answered?"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as lib
from rig import CannotRun, TROUBLE, answer, connect, head, play, unacknowledged

# More than the system's buffers hold between the ingress and the backend (up to 4 MB there, and 64 KiB here).
BODY = int(os.environ.get("BODY", 5_600_000))
RECEIVE_BUFFER = 64 * 1024
FIRST_PART = 400_000
# The class gives up after 3 s, and the client says so; a final answer up to half a second after that is late, not lost.
DEADLINE_MS, LATE = 3000, 0.5
START_SECONDS = 5.0


class BackendProcess:
    """A backend in a process of its own."""

    def __init__(self, rig, name):
        self.name, self.heads, self.record = name, set(), rig.record
        script = os.path.join(os.path.dirname(lib.__file__), "backend_process.py")
        self.process = rig.spawn([sys.executable, "-B", script, name, "0.08", str(RECEIVE_BUFFER)])
        self.address = self.process.stdout.readline().decode().strip()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            self.record(f"backend {self.name}: {line.decode().strip()}")
            if line.startswith(b"head of "):
                self.heads.add(line.split()[-1].decode())


def case(rig):
    backends = [BackendProcess(rig, f"s-{i}") for i in range(4)]
    listed = [lib.entry(b.name, b.address, cell=i // 2) for i, b in enumerate(backends)]
    discovery = lib.Discovery(listed)
    ingress = rig.ingress("ingress", rig.config(discovery.address, listed))
    ingress.ready()
    client = connect(ingress.listen)
    for number in range(4):
        client.sendall(head(f"short-{number}", "move-submit/17", "POST", DEADLINE_MS, 4) + b"e2e4")
        got = answer(client, 5.0)
        rig.record(f"short-{number} is answered: {got}")
        if got[0] != 200:
            raise CannotRun("a short request was not served")
    body = b"m" * BODY
    client.sendall(head("long", "move-submit/17", "POST", DEADLINE_MS, BODY) + body[:FIRST_PART])
    until = time.monotonic() + START_SECONDS
    while not (chosen := [b for b in backends if "long" in b.heads]):
        if time.monotonic() > until:
            raise CannotRun("no backend got the long request's head")
        time.sleep(0.01)
    rig.record(f"{FIRST_PART} bytes of the body of long are written; it goes to {chosen[0].name}")
    if TROUBLE:
        chosen[0].process.send_signal(signal.SIGSTOP)
        rig.record(f"SIGSTOP to {chosen[0].name}, one of four backends")
    client.settimeout(2.0)
    try:
        client.sendall(body[FIRST_PART:])
    except TimeoutError:
        raise CannotRun("the last byte of the body could not be written") from None
    written = time.monotonic()
    time.sleep(0.2)
    rig.record(f"0.2 s ago the last byte of long was written; {unacknowledged(client)} bytes of it have not been "
               "acknowledged by the ingress's machine")
    got = answer(client, 8.0)
    after = time.monotonic() - written
    rig.record(f"{after:.3f} s after its last byte, long has: {got}")
    probe = connect(ingress.listen)
    probe.sendall(head("after", "move-submit/17", "POST", DEADLINE_MS, 4) + b"e2e4")
    rig.record(f"another request meanwhile: {answer(probe, 5.0)}")
    return isinstance(got[0], int) and after <= DEADLINE_MS / 1000.0 + LATE


play(__file__, case)
