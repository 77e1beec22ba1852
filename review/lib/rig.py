"""Stand-ins and helpers that the cases share: discovery, backends, clients, and the program's processes.

Everything listens on loopback addresses and on ports of the system's choice. Python's standard library only.
"""

import ctypes
import fcntl
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import struct
import tempfile
import termios
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
# A case ends by itself after this many seconds, and could not run then.
LONGEST = 110.0
LIBC = ctypes.CDLL(None)


class CannotRun(Exception):
    """The case could not be set up or played: exit code 2."""


class Record:
    """The file record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.begun:8.3f} {text}"
            print(line, file=self.file, flush=True)
            print(line, flush=True)


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def read_head(stream, buffered=b""):
    """Reads up to the empty line; returns the head and the bytes after it, or None at the end."""
    data = buffered
    while b"\r\n\r\n" not in data:
        more = stream.recv(65536)
        if not more:
            return None
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    return head, rest


def fields_of(head):
    """Returns the first line and the header fields, by lower-case name."""
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


class Discovery:
    """The agent of PROTOCOL, 'Discovery'. `silent` makes it accept and say nothing, as while discovery is down."""

    def __init__(self, instances):
        self.instances = {i["instanceId"]: i for i in instances}
        self.generation = 41
        self.silent = False
        self.changes = []
        self.wake = threading.Condition()
        self.listener = socket.create_server((HOST, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            stream, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, entry):
        with self.wake:
            self.generation += 1
            if entry["lifecycle"] == "terminated":
                self.instances.pop(entry["instanceId"], None)
            else:
                self.instances[entry["instanceId"]] = entry
            self.changes.append({"generation": self.generation, "reset": False, "instances": [entry]})
            self.wake.notify_all()

    def speak(self, silent):
        with self.wake:
            self.silent = silent
            self.wake.notify_all()

    def serve(self, stream):
        try:
            got = read_head(stream)
            if got is None:
                return
            with self.wake:
                while self.silent:
                    self.wake.wait(0.05)
                if "stream=1" not in fields_of(got[0])[0]:
                    body = json.dumps(self.whole()).encode()
                    stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    return
                stream.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.line(stream, json.dumps(self.whole()))
                seen = len(self.changes)
                while True:
                    if not self.wake.wait_for(lambda: len(self.changes) > seen, 2.0):
                        if not self.silent:
                            self.line(stream, "")
                    while seen < len(self.changes) and not self.silent:
                        self.line(stream, json.dumps(self.changes[seen]))
                        seen += 1
        except OSError:
            pass
        finally:
            stream.close()

    @staticmethod
    def line(stream, text):
        data = text.encode() + b"\n"
        stream.sendall(b"%x\r\n%s\r\n" % (len(data), data))


class Backend:
    """A backend of PROTOCOL, 'Ingresses to backends', in this process. Serves each request after `work` seconds."""

    def __init__(self, name, record, work=0.05, receive_buffer=None):
        self.name, self.record, self.work = name, record, work
        self.requests = []
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=256)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def arrives(self, request_id, length):
        """Called when the head of a request has come."""

    def began(self, request_id, fields, length):
        """Called when the last byte of a request has come: from here on it runs."""
        self.record(f"backend {self.name} runs {request_id} ({length} bytes of body)")

    def broke(self, stream):
        """Called before a connection is closed that has failed."""

    def entry(self, lifecycle="in_service", cell=0):
        return entry(self.name, self.address, lifecycle, cell)

    def accept(self):
        while True:
            stream, _ = self.listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        rest = b""
        try:
            while True:
                got = read_head(stream, rest)
                if got is None:
                    return
                head, rest = got
                begun = time.monotonic()
                first, fields = fields_of(head)
                length = int(fields.get("content-length", "0"))
                request_id = fields.get("request-id", "")
                self.arrives(request_id or first, length)
                body = bytearray(rest[:length])
                rest = rest[length:]
                while len(body) < length:
                    more = stream.recv(min(65536, length - len(body)))
                    if not more:
                        self.record(f"backend {self.name}: {request_id} broke off after {len(body)} bytes of body")
                        return
                    body += more
                with self.lock:
                    self.requests.append((begun, request_id))
                self.began(request_id or first, fields, len(body))
                time.sleep(self.work)
                answer = f"{self.name} {request_id}".encode()
                stream.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: inflight=1,queue=0\r\n\r\n"
                    % len(answer) + answer)
        except OSError:
            self.broke(stream)
        finally:
            stream.close()


class Recorder:
    """A proxy between clients and one ingress. It passes all on at once and unchanged, and writes down what it sees."""

    def __init__(self, name, ingress, on_answer):
        self.name, self.ingress, self.on_answer = name, ingress, on_answer
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        """Clients send one request at a time on a connection, and the program's answers here all have a length."""
        ingress = None
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ingress = connect(self.ingress)
            ingress.settimeout(None)
            while (message := self.message(client)) is not None:
                _, fields = fields_of(message.split(b"\r\n\r\n", 1)[0])
                sent = time.monotonic()
                ingress.sendall(message)
                answer = self.message(ingress)
                status = int(answer.split(b" ", 2)[1]) if answer else None
                self.on_answer(self.name, sent, fields, status)
                if answer is None:
                    return
                client.sendall(answer)
        except OSError:
            pass
        finally:
            client.close()
            if ingress:
                ingress.close()

    @staticmethod
    def message(stream):
        got = read_head(stream)
        if got is None:
            return None
        head, body = got
        length = int(fields_of(head)[1].get("content-length", "0"))
        while len(body) < length:
            more = stream.recv(65536)
            if not more:
                return None
            body += more
        return head + b"\r\n\r\n" + body


def entry(name, address, lifecycle="in_service", cell=0):
    return {"instanceId": name, "hostPort": address, "zone": "north-hall", "machineType": "gen-a", "cell": cell,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}


def settings():
    """The settings of a small deployment: one ingress, the classes and figures of the brief."""
    def cls(name, aim, give_up, effect, worth):
        return {"name": name, "aim": aim, "giveUp": give_up, "effect": effect, "group": "cell", "window": 6000.0,
                "worth": worth}
    return {
        "balancers": 1, "myNumber": 0, "zone": 0, "zones": ["north-hall", "south-hall", "east-hall"],
        "flavors": ["gen-a", "gen-b"], "membershipMode": "pushed",
        "feedback": {"names": ["rif", "lat_ms", "q"], "via": "piggyback"},
        "limits": {"maxAttempts": 6, "cancelling": True, "retryAfter": True, "maxRetryAfter": 1000.0,
                   "connectTimeout": 250.0, "connIdle": 30000.0, "mayTell": False, "secondCopies": True},
        "familyInfo": {"largest": 6, "counterTimeout": 50.0, "hasCounter": False},
        "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0,
                  "stopSendingWithin": 250.0, "answerSlack": 50.0},
        "classes": [cls("game-record", 1000.0, 3000.0, "read_like", 2.0),
                    cls("board-state", 600.0, 1500.0, "read_like", 1.0),
                    cls("move-submit", 750.0, 3000.0, "idempotency_key", 2.0)],
        "tariffs": [{"name": "league", "perSecond": 60.0, "storeSize": 120.0, "atOnce": 0, "ceilingRate": 0.0,
                     "neverOverDepth": 0.0, "extraWorth": 0.0, "excessCost": 1.0, "worthFactor": 1.8}],
    }


class Ingress:
    """One process of the program, started by the deploy file's `run`, from the root, as its page says."""

    def __init__(self, rig, name, config, management=None):
        self.rig, self.name = rig, name
        path = os.path.join(rig.folder, f"{name}.json")
        with open(path, "w") as f:
            json.dump(config, f)
        env = dict(os.environ, RELAY_NAME=config["name"], RELAY_LISTEN=config["listen"],
                   RELAY_DISCOVERY=config["discovery"], RELAY_CONFIG=path, TMPDIR=rig.tmpdir)
        if management:
            env["RELAY_MANAGEMENT"] = management
        self.management = management
        self.listen = config["listen"]
        self.log = open(os.path.join(rig.folder, f"{name}.log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", rig.run_command], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log, preexec_fn=die_with_parent)
        rig.processes.append(self.process)
        rig.record(f"ingress process {name} started")

    def ready(self, within=10.0):
        """Waits until GET /ready says 200."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended while it started")
            try:
                with connect(self.listen) as stream:
                    stream.settimeout(1.0)
                    stream.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    got = read_head(stream)
                    if got and b" 200 " in got[0].split(b"\r\n")[0]:
                        self.rig.record(f"{self.name} says ready")
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")

    def call(self, line, timeout=2.0):
        """Makes a call to the operators' interface of this process; None if there is no answer."""
        try:
            with connect(self.management) as stream:
                stream.settimeout(timeout)
                stream.sendall(line.encode() + b"\n")
                answer = b""
                while True:
                    more = stream.recv(65536)
                    if not more:
                        break
                    answer += more
                return answer.decode()
        except OSError:
            return None

    def says_ready(self, within=10.0):
        """Waits for `ok ready` of the operators' interface."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if (self.call("ready") or "").startswith("ok"):
                self.rig.record(f"{self.name}: operators' interface says ok ready")
                return
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended while it started")
            time.sleep(0.01)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.rig.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)


def connect(address):
    host, port = address.rsplit(":", 1)
    stream = socket.create_connection((host, int(port)), timeout=5.0)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def head(request_id, path, method, timeout_ms, length=None, customer=7, units=1):
    lines = [f"{method} /{path}?client={customer:016x} HTTP/1.1", "Host: origin.svc", f"Request-Id: {request_id}",
             "X-Tier: league", f"Request-Timeout-Ms: {timeout_ms}",
             f"X-Call-Terms: units={units},spread=1,first=0"]
    if method == "POST":
        lines += [f"Idempotency-Key: key-{request_id}", f"Content-Length: {length}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(stream, within):
    """Reads one answer; returns (status, body), or a word: 'closed', 'reset' or 'nothing'."""
    until = time.monotonic() + within
    data = b""
    try:
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return "nothing", data
            stream.settimeout(left)
            if b"\r\n\r\n" in data:
                top, body = data.split(b"\r\n\r\n", 1)
                first, fields = fields_of(top)
                length = int(fields.get("content-length", "0"))
                if len(body) >= length:
                    return int(first.split()[1]), body[:length]
            more = stream.recv(65536)
            if not more:
                return "closed", data
            data += more
    except (TimeoutError, socket.timeout):
        return "nothing", data
    except OSError:
        return "reset", data


def unacknowledged(stream):
    """Returns the bytes that were written to a connection and that the other machine has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(stream, termios.TIOCOUTQ, b"\0\0\0\0"))[0]


def die_with_parent():
    """Has the system kill a started process if the script itself is killed (PR_SET_PDEATHSIG)."""
    LIBC.prctl(1, signal.SIGKILL)


class Rig:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="weldhub-review-")
        self.tmpdir = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmpdir)
        self.processes = []
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            self.run_command = tomllib.load(f)["run"]
        self.record(f"trouble: {'yes' if TROUBLE else 'no'}")

    def config(self, discovery, known, **more):
        return {"name": "n0", "listen": f"{HOST}:{free_port()}", "discovery": discovery, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 41, "reset": True, "instances": known}, "settings": settings(), **more}

    def ingress(self, name, config, management=None):
        return Ingress(self, name, config, management)

    def spawn(self, args):
        process = subprocess.Popen(args, stdout=subprocess.PIPE, preexec_fn=die_with_parent)
        self.processes.append(process)
        return process

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case_file, case):
    """Plays a case: `case(rig)` returns whether the rule held. Exits with 0, 1 or 2."""
    try:
        rig = Rig(os.path.dirname(os.path.abspath(case_file)))
    except Exception as e:  # noqa: BLE001 - whatever went wrong, the case could not run
        print(f"cannot run: {type(e).__name__}: {e}")
        sys.exit(2)

    def give_up(why):
        rig.record(f"cannot run: {why}")
        rig.close()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, _: give_up(signal.Signals(number).name))
    watchdog = threading.Timer(LONGEST, give_up, [f"not done after {LONGEST} s"])
    watchdog.daemon = True
    watchdog.start()
    try:
        held = case(rig)
        rig.record("the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    except Exception as e:  # noqa: BLE001 - as above
        rig.record(f"cannot run: {type(e).__name__}: {e}")
        code = 2
    finally:
        for name in sorted(os.listdir(rig.folder)):
            if name.endswith(".log"):
                with open(os.path.join(rig.folder, name), errors="replace") as f:
                    for line in f:
                        print(f"  log of {name[:-4]}: {line.rstrip()}", file=rig.record.file)
        rig.close()
        rig.record.file.flush()
    sys.stdout.flush()
    # Threads of the stand-ins still wait on their sockets.
    os._exit(code)
