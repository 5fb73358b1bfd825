"""Stand-ins for the review cases: callers, call servers and the name service, on loopback, as the protocol page
describes them. Standard library only."""
import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import logging
import tempfile
import time

logging.getLogger("asyncio").setLevel(logging.CRITICAL)
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, TEST, TESTED = 1, 6, 9, 12, 16, 52, 53


class CannotRun(Exception):
    """The case could not be carried out."""


def end_with_parent():
    """In a child: the system ends it if the script is killed (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL), 0, 0, 0)


class Record:
    """record.txt: what was sent, answered and run, with the milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.time()

    def __call__(self, text):
        self.file.write("%9.1f %s\n" % ((time.time() - self.began) * 1000.0, text))
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


# ---- the name service ----

def _name(text):
    return b"".join(bytes([len(l)]) + l.encode() for l in text.split(".") if l) + b"\0"


class Names(asyncio.DatagramProtocol):
    """The list of call servers by DNS: each entry is a dict of id, port, cell, draining, started."""

    def __init__(self, record):
        self.record, self.serial, self.servers = record, 1, []
        self.told = 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if len(data) < 12:
            return
        ident = data[:2]
        pool = _name("_back._tcp.pool.lan")
        question = pool + struct.pack(">HH", 33, 1)
        answers, more = b"", b""
        for s in self.servers:
            host = _name("%s.%s.hosts" % (s["id"], s.get("zone", "aarhus")))
            data_ = struct.pack(">HHH", 1 if s.get("draining") else 0, 40, s["port"]) + host
            answers += pool + struct.pack(">HHIH", 33, 1, 0, len(data_)) + data_
            more += host + struct.pack(">HHIH", 1, 1, 0, 4) + socket.inet_aton("127.0.0.1")
            texts = b"".join(bytes([len(t)]) + t for t in (
                b"kind=std", b"cell=%d" % s["cell"], b"started=%d" % s.get("started", 0)))
            more += host + struct.pack(">HHIH", 16, 1, 0, len(texts)) + texts
        soa = _name("ns.lan") + _name("ops.lan") + struct.pack(">IIIII", self.serial, 1, 1, 1, 0)
        authority = _name("pool.lan") + struct.pack(">HHIH", 6, 1, 0, len(soa)) + soa
        head = ident + struct.pack(">HHHHH", 0x8400, 1, len(self.servers), 1, 2 * len(self.servers))
        self.transport.sendto(head + question + answers + authority + more, addr)
        if self.told != self.serial:
            self.told = self.serial
            self.record("names: list %d told" % self.serial)

    def change(self, servers):
        self.servers, self.serial = servers, self.serial + 1


async def start_names(record):
    loop = asyncio.get_running_loop()
    _, names = await loop.create_datagram_endpoint(lambda: Names(record), local_addr=("127.0.0.1", 0))
    names.port = names.transport.get_extra_info("sockname")[1]
    return names


# ---- call servers ----

class CallServer:
    """A call server: answers a set-up after `takes_s`, ends the call after `holds_s()`; it tells its state first on
    each connection and then once a second. Calls that stand belong to no connection."""

    def __init__(self, record, name, cell, takes_s=0.06, holds_s=lambda cls: 8.0, quiet=False, port=0):
        self.record, self.name, self.cell = record, name, cell
        self.takes_s, self.holds_s, self.quiet = takes_s, holds_s, quiet
        self.port = port
        self.conns, self.standing, self.open, self.unheard = [], {}, {}, {}
        self.set_ups = []          # (time, call) of each whole set-up
        self.released = []         # (time, call) of each release sent
        self.tasks, self.server = set(), None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        self._spawn(self._tell())
        return self

    def entry(self, **more):
        return dict({"id": self.name, "port": self.port, "cell": self.cell}, **more)

    def _spawn(self, what):
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def load(self):
        return "x0:%d;x1:4000;latency_ms:2;qps:400" % max(0, 4000 - len(self.standing))

    def say(self, writer, t, ref, f=None, **more):
        line = dict({"t": t, "ref": "%016x" % ref, "f": f or {}}, **more)
        try:
            writer.write(json.dumps(line).encode() + b"\n")
        except Exception:
            pass

    async def _tell(self):
        while True:
            await asyncio.sleep(1.0)
            for w in list(self.conns):
                self.say(w, "gauge", 0, {"load": self.load()})

    async def _serve(self, reader, writer):
        self.conns.append(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.say(writer, "gauge", 0, {"load": self.load()})
        for call, cause in list(self.unheard.items()):
            self.say(writer, "down", call, c=cause)
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                self.hear(writer, json.loads(line))
        except (ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        if writer in self.conns:
            self.conns.remove(writer)
        for call in [c for c, w in self.open.items() if w is writer]:
            del self.open[call]
        writer.close()

    def hear(self, writer, message):
        t, call = message["t"], int(message["ref"], 16)
        if t == "new":
            self.set_ups.append((time.time(), call))
            if not self.quiet:
                self.record("%s: set-up %016x" % (self.name, call))
            self.open[call] = writer
            self._spawn(self._set_up(writer, call, message))
        elif t == "down":
            self.open.pop(call, None)
            if self.standing.pop(call, None):
                self.record("%s: call %016x released by the border controller" % (self.name, call))
        elif t == "ack":
            self.unheard.pop(call, None)
        elif t == "hb":
            self.say(writer, "hb_ok", call, {"load": self.load()}, c=1)

    async def _set_up(self, writer, call, message):
        await asyncio.sleep(self.takes_s)
        if self.open.get(call) is not writer:
            return
        del self.open[call]
        self.standing[call] = writer
        # The description that this server gives for this call.
        self.say(writer, "up", call, {"load": self.load()}, d="%s %016x" % (self.name, call))
        await asyncio.sleep(self.holds_s(message["f"].get("class")))
        if call in self.standing:
            self.end(call, 16)

    def end(self, call, cause):
        writer = self.standing.pop(call)
        self.unheard[call] = cause
        self.released.append((time.time(), call))
        to = writer if writer in self.conns else (self.conns[-1] if self.conns else None)
        if to is not None:
            self.say(to, "down", call, {"load": self.load()}, c=cause)

    def die(self):
        """The process dies: nothing listens, its connections are reset, its calls are cut."""
        for task in list(self.tasks):
            task.cancel()
        self.server.close()
        for w in list(self.conns):
            w.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            w.transport.abort()
        cut = list(self.standing)
        self.conns, self.standing, self.open, self.unheard = [], {}, {}, {}
        return cut


# ---- the network ----

class Way:
    """A way of `one_way_s` between the border controller and a call server: all that passes, and the end of a
    connection, arrives so much later, in order."""

    def __init__(self, server, one_way_s):
        self.server, self.one_way_s = server, one_way_s
        self.name, self.cell = server.name, server.cell
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self, **more):
        return dict({"id": self.name, "port": self.port, "cell": self.cell}, **more)

    async def _serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        for a, b in ((reader, far_writer), (far_reader, writer)):
            b.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._pass(a, b))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass(self, reader, writer):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                loop.call_later(self.one_way_s, writer.transport.abort)
                return
            if not data:
                loop.call_later(self.one_way_s, self._end, writer)
                return
            loop.call_later(self.one_way_s, self._write, writer, data)

    def _write(self, writer, data):
        if not writer.transport.is_closing():
            writer.write(data)

    def _end(self, writer):
        try:
            if not writer.transport.is_closing():
                writer.write_eof()
        except OSError:
            pass


# ---- callers ----

def parameter(code, value):
    return struct.pack(">BH", code, len(value)) + value


def message(kind, call, parameters=b""):
    return struct.pack(">HBQ", 9 + len(parameters), kind, call) + parameters


def set_up(call, cls, wait_ms, dest, number="7f3a9c21e0b4d655", description=None):
    description = description or "%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n" % call
    return message(SET_UP, call, parameter(129, cls.encode()) + parameter(130, str(wait_ms).encode())
                   + parameter(133, number.encode()) + parameter(134, ("dest:%d;width:1;via:-1" % dest).encode())
                   + parameter(144, description.encode()))


class Caller:
    """One connection from callers. `heard(caller, kind, call, cause, description)` is told of each message."""

    def __init__(self, address, record, heard, name="caller"):
        self.address, self.record, self.heard, self.name = address, record, heard, name
        self.closed_at = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    def send(self, data):
        self.writer.write(data)

    async def _read(self):
        try:
            while True:
                (length,) = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(length)
                kind, call = struct.unpack(">BQ", body[:9])
                rest, cause, description, away = body[9:], None, None, None
                while rest:
                    code, n = struct.unpack(">BH", rest[:3])
                    value, rest = rest[3:3 + n], rest[3 + n:]
                    if code == 143:
                        cause = value[0]
                    elif code == 144:
                        description = value.decode()
                self.heard(self, kind, call, cause, description)
        except (ConnectionError, asyncio.IncompleteReadError) as e:
            self.closed_at = time.time()
            self.record("%s: connection closed by the border controller (%s)" % (self.name, type(e).__name__))
            self.writer.close()

    def close(self):
        if self.closed_at is None:
            self.task.cancel()
            self.writer.close()


# ---- the border controller ----

CLASSES = [
    {"name": "photo-fetch", "target_ms": 1200.0, "deadline_ms": 9000.0, "worth": 1.0, "late_worth": 0.25},
    {"name": "verdict-set", "target_ms": 2000.0, "deadline_ms": 9000.0, "worth": 3.0, "late_worth": 0.1},
    {"name": "batch-list", "target_ms": 2500.0, "deadline_ms": 9000.0, "worth": 1.0, "late_worth": 0.1},
]


class Controller:
    """The border controller, started with the command of the deploy file."""

    def __init__(self, record, names, servers, sockets=1024, management=None, siblings=6, tmp=None, listen=None):
        self.record = record
        self.tmp = tmp or tempfile.mkdtemp(prefix="review-")
        self.listen = listen or free_port()
        self.management = management or free_port()
        places = sorted({s.cell for s in servers})
        entries = [{"id": s.name, "addr": "127.0.0.1:%d" % s.port, "zone": "aarhus", "kind": "std", "cell": s.cell,
                    "state": "Ready", "weight": 4, "started_ms": 0} for s in servers]
        names.servers = [s.entry() for s in servers]
        self.config = {
            "name": "bc-1", "listen": "127.0.0.1:%d" % self.listen, "management": "127.0.0.1:%d" % self.management,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "dns": "127.0.0.1:%d" % names.port,
            "known": {"seq": names.serial, "results": [
                {"seq": names.serial, "fleet": {"version": 1, "full": True, "servers": entries}}]},
            "settings": {
                "siblings": siblings, "index": 0, "zones": ["aarhus", "copenhagen"], "services": CLASSES,
                "tenants": [], "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
                "clients": {"marks_retry": True},
                "ceilings": {"attempts_cap": 6, "cancel": True, "probing": False, "may_tell": False,
                             "retry_after": True, "max_retry_after_ms": 2000.0, "dial_timeout_ms": 500.0,
                             "open_cap": 20000, "conn_idle_ms": 30000.0},
                "rules": {"answer_slack_ms": 20.0, "cold_from": 0.37, "cold_ms": 14000.0, "fall_multiple": 3.0,
                          "fall_ms": 2000.0, "drain_grace_ms": 1000.0},
                "specifics": {"guard_ms": 200.0, "t1_ms": 0.0, "says_wait": False, "class_width": [1, 1, 1],
                              "pools_by_class": [places, places, places]},
            },
        }
        self.config_path = os.path.join(self.tmp, "config-%d.json" % self.management)
        self.process = None

    async def start(self, log):
        with open(self.config_path, "w") as f:
            json.dump(self.config, f)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = next(l for l in f if l.startswith("run")).split('"')[1]
        home = os.path.join(self.tmp, "tmp")
        os.makedirs(home, exist_ok=True)
        env = dict(os.environ, GW_NAME="bc-1", GW_LISTEN=self.config["listen"], GW_CONFIG=self.config_path,
                   GW_MANAGEMENT=self.config["management"], TMPDIR=home)
        self.log = open(log, "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            preexec_fn=end_with_parent)
        for _ in range(100):
            if self.process.returncode is not None:
                raise CannotRun("the border controller ended at its start; see its log")
            if await self.ask() == 200:
                self.record("border controller: ready")
                return self
            await asyncio.sleep(0.1)
        raise CannotRun("the border controller was not ready within 10 s")

    async def ask(self, method="GET", path="/control/ready"):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
            writer.write(("%s %s HTTP/1.1\r\nHost: bc\r\nContent-Length: 0\r\n\r\n" % (method, path)).encode())
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, ValueError, asyncio.TimeoutError):
            return 0

    @property
    def address(self):
        return ("127.0.0.1", self.listen)

    def signal(self, what):
        self.process.send_signal(what)

    def remove(self):
        shutil.rmtree(self.tmp, ignore_errors=True)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.remove()


def main(case, folder):
    """Runs a case; exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    cleanups = []

    async def run():
        task = asyncio.ensure_future(asyncio.wait_for(case(record, cleanups, folder), 110))
        for what in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(what, task.cancel)
        try:
            return await task
        finally:
            for clean in reversed(cleanups):
                try:
                    result = clean()
                    if asyncio.iscoroutine(result):
                        await result
                except Exception as e:
                    record("cleaning up: %r" % (e,))
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:
        # Whatever goes wrong in the script itself is no broken rule.
        record("could not run: %r" % (e,))
        print("could not run: %r" % (e,))
        os._exit(2)
    for line in broken:
        record("BROKEN: " + line)
        print("BROKEN: " + line)
    if not broken:
        record("the rule held")
        print("the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
