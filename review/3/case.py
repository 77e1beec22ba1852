"""A keyed request whose body is still on its way when its ingress is told to end: is it answered once it is whole?"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as lib
from rig import CannotRun, TROUBLE, answer, connect, head, play

BODY, RATE = 400_000, 80_000.0
# When the body begins, counted from SIGTERM, so that its last byte is written 3.3 s after SIGTERM.
BEGINS = 3.3 - BODY / RATE
# What the backend needs for it: within the class's aim of 0.75 s.
WORK = 0.7
DEADLINE_MS, LATE = 3000, 0.5


def case(rig):
    backends = [lib.Backend(f"s-{i}", rig.record, WORK) for i in range(3)]
    listed = [b.entry(cell=0) for b in backends]
    discovery = lib.Discovery(listed)
    ingress = rig.ingress("ingress", rig.config(discovery.address, listed))
    ingress.ready()
    client = connect(ingress.listen)
    begun = time.monotonic()
    term_at, told = begun - BEGINS, None
    client.sendall(head("long", "move-submit/17", "POST", DEADLINE_MS, BODY))
    rig.record(f"the head of long is written; its body of {BODY} bytes follows at {RATE / 1000:.0f} kB/s")
    piece, sent = 2000, 0
    while sent < BODY:
        due = begun + sent / RATE
        time.sleep(max(0.0, due - time.monotonic()))
        if told is None and time.monotonic() >= term_at:
            told = time.monotonic()
            if TROUBLE:
                ingress.signal(signal.SIGTERM)
        try:
            client.sendall(b"m" * piece)
        except OSError as e:
            raise CannotRun(f"the body was cut off after {sent} bytes: {e}") from None
        sent += piece
    written = time.monotonic()
    rig.record(f"the last byte of long is written, {written - told:.3f} s after "
               f"{'SIGTERM' if TROUBLE else 'the moment at which SIGTERM is sent otherwise'}")
    got = answer(client, 5.0)
    after = time.monotonic() - written
    rig.record(f"{after:.3f} s after its last byte, long has: {got}")
    ran = [b.name for b in backends if any(request == "long" for _, request in b.requests)]
    rig.record(f"long ran on: {ran}")
    rig.record(f"the ingress has ended: {ingress.process.poll() is not None}; no SIGKILL was sent")
    return isinstance(got[0], int) and after <= DEADLINE_MS / 1000.0 + LATE


play(__file__, case)
