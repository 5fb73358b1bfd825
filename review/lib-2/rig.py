"""Stand-ins for the cases of the second review: callers, call servers, the name service and the platform.

They follow PROTOCOL and DEPLOY. Everything is on 127.0.0.1, on free ports, and on the real clock.
"""
import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
SLACK_MS = 50.0


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def end_with_the_script():
    """What was started is killed with the script, however that ends."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))


def now():
    """Unix clock, ms."""
    return time.time() * 1000.0


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, a line each, in the order in which it happened."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.t0 = now()

    def __call__(self, who, what):
        self.file.write(f"{now() - self.t0:10.1f} {who}: {what}\n")
        self.file.flush()


# ---- call servers ----

class Link:
    """A connection to a call server, at the server's side."""

    def __init__(self, server, reader, writer, number):
        self.server, self.reader, self.writer, self.number = server, reader, writer, number
        self.open = True
        self.awake = asyncio.Event()
        self.awake.set()
        self.unsaid = []

    def say(self, message):
        if not self.open:
            return
        if not self.awake.is_set():
            self.unsaid.append(message)
            return
        self.server.note(f"link {self.number} says {short(message)}")
        self.writer.write((json.dumps(message) + "\n").encode())

    def freeze(self):
        """It goes silent: nothing is read or written on it, and it stays open."""
        self.server.note(f"link {self.number} goes silent")
        self.awake.clear()

    def thaw(self):
        """It goes on where it stood."""
        self.server.note(f"link {self.number} goes on")
        self.awake.set()
        unsaid, self.unsaid = self.unsaid, []
        for message in unsaid:
            self.say(message)

    def reset(self):
        """Ends it with a reset: what was on its way may be lost."""
        self.open = False
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self):
        self.open = False
        self.writer.close()


def short(message):
    m = dict(message)
    if len(str(m.get("d", ""))) > 40:
        m["d"] = m["d"][:40] + "..."
    return json.dumps(m)


class CallServer:
    """A sound call server: it answers each set-up after `service_ms`, one after the other, and ends each call that stands
    after `hold_ms`. An end is told on the connection of its set-up, else on any open one, and again on each next connection
    that opens, until it was said to be heard. Cases replace `on_new`."""

    def __init__(self, record, name, place, service_ms=10.0, hold_ms=600000.0, lines=1000):
        self.record, self.name, self.place = record, name, place
        self.service_ms, self.hold_ms, self.lines = service_ms, hold_ms, lines
        self.port = free_port()
        self.links, self.count, self.listener = [], 0, None
        self.attempts = []      # {call, at, link, ended, how}
        self.standing = {}      # call -> {link, since, description}
        self.ended = {}         # call -> cause, told and not said to be heard
        self.ends = []          # (call, at, cause)
        self.cut_by_peer = []   # (call, at): released from the border controller's side
        self.on_new = None
        self.on_link = None
        self.on_line = None
        self.tasks = set()
        self.told = None
        self.free_at = 0.0

    @property
    def addr(self):
        return f"127.0.0.1:{self.port}"

    def note(self, what):
        self.record(self.name, what)

    def listed(self, state="Ready", started=0, addr=None):
        return {"id": self.name, "addr": addr or self.addr, "zone": "aarhus", "kind": "std-1core", "cell": self.place,
                "state": state, "weight": 1, "started_ms": started}

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.told = asyncio.create_task(self._tell())

    async def _tell(self):
        while True:
            await asyncio.sleep(1.0)
            for link in list(self.links):
                if link.open and link.awake.is_set():
                    link.writer.write((json.dumps(self.gauge()) + "\n").encode())

    def load(self):
        return f"x0:{self.lines - len(self.standing)};x1:{self.lines};latency_ms:0;qps:60"

    def gauge(self):
        return {"t": "gauge", "ref": "0" * 16, "f": {"load": self.load()}}

    async def _serve(self, reader, writer):
        self.count += 1
        link = Link(self, reader, writer, self.count)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.links.append(link)
        self.note(f"link {link.number} opens")
        if self.on_link is not None and await self.on_link(link):
            return
        writer.write((json.dumps(self.gauge()) + "\n").encode())
        for call, cause in list(self.ended.items()):
            link.say({"t": "down", "ref": call, "f": {"load": self.load()}, "c": cause})
        try:
            while link.open:
                line = await reader.readline()
                await link.awake.wait()
                if not line.endswith(b"\n"):
                    break
                self._hear(link, json.loads(line))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._link_ended(link)

    def _link_ended(self, link):
        if link not in self.links:
            return
        link.open = False
        self.links.remove(link)
        self.note(f"link {link.number} ends")
        for a in self.attempts:
            if a["ended"] is None and a["link"] is link:
                a["ended"], a["how"] = now(), "given up with its connection"
        try:
            link.writer.close()
        except Exception:
            pass

    def _hear(self, link, m):
        kind, call = m.get("t"), m.get("ref")
        self.note(f"link {link.number} hears {short(m)}")
        if self.on_line is not None and self.on_line(link, m):
            return
        if kind == "new":
            attempt = {"call": call, "at": now(), "link": link, "ended": None, "how": None, "message": m}
            self.attempts.append(attempt)
            handle = self.on_new or self.serve_call
            task = asyncio.create_task(handle(link, attempt))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif kind == "down":
            # A set-up is given up on its own connection. No connection owns a call that stands.
            given_up = [a for a in self.attempts if a["call"] == call and a["ended"] is None and a["link"] is link]
            for a in given_up:
                a["ended"], a["how"] = now(), "given up"
            if not given_up and call in self.standing:
                del self.standing[call]
                self.cut_by_peer.append((call, now()))
        elif kind == "ack":
            self.ended.pop(call, None)
        elif kind == "hb":
            link.say({"t": "hb_ok", "ref": call, "f": {}, "c": 1})

    # what a sound server does

    async def serve_call(self, link, attempt):
        start = max(now(), self.free_at)
        self.free_at = start + self.service_ms
        await asyncio.sleep(max(0.0, self.free_at - now()) / 1000.0)
        if attempt["ended"] is None:
            self.answer(link, attempt)

    def refuse(self, link, attempt, cause, note=None, load=True):
        fields = {"load": self.load()} if load else {}
        if note:
            fields["note"] = note
        if attempt["ended"] is None:
            attempt["ended"], attempt["how"] = now(), f"refused with cause {cause}"
        link.say({"t": "down", "ref": attempt["call"], "f": fields, "c": cause})

    def answer(self, link, attempt, hold_ms=None):
        call = attempt["call"]
        description = f"{call}\r\nc=IN IP4 127.0.0.1\r\ns={self.name}-{len(self.attempts)}"
        if attempt["ended"] is None:
            attempt["ended"], attempt["how"] = now(), "answered"
        self.standing[call] = {"link": link, "since": now(), "description": description}
        link.say({"t": "up", "ref": call, "f": {}, "d": description})
        task = asyncio.create_task(self._hold(call, self.hold_ms if hold_ms is None else hold_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _hold(self, call, hold_ms):
        await asyncio.sleep(hold_ms / 1000.0)
        if call in self.standing:
            self.end_call(call, 16)

    def end_call(self, call, cause):
        link = self.standing.pop(call)["link"]
        self.ended[call] = cause
        self.ends.append((call, now(), cause))
        open_links = [l for l in self.links if l.open]
        link = link if link.open else (open_links[0] if open_links else None)
        if link is not None:
            link.say({"t": "down", "ref": call, "f": {"load": self.load()}, "c": cause})
        else:
            self.note(f"call {call} is over, cause {cause}; no connection is open")

    async def stop_listening(self):
        self.listener.close()

    async def end(self):
        if self.told:
            self.told.cancel()
        for task in list(self.tasks):
            task.cancel()
        if self.listener:
            self.listener.close()
        for link in list(self.links):
            link.open = False
            try:
                link.writer.transport.abort()
            except Exception:
                pass


class Path:
    """One connection through a proxy."""

    def __init__(self, number, here, there):
        self.number, self.here, self.there = number, here, there
        self.passes = asyncio.Event()
        self.passes.set()


class Proxy:
    """The way to a call server. A path of it can go silent: nothing passes on it any more, no close either, and both ends
    stay open."""

    def __init__(self, record, server):
        self.record, self.server, self.port, self.paths, self.tasks = record, server, free_port(), [], set()
        # Called with what is held back on a silent path.
        self.on_held = None

    @property
    def addr(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)

    async def _serve(self, reader, writer):
        try:
            there = await asyncio.open_connection("127.0.0.1", self.server.port, limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return
        for w in (writer, there[1]):
            w.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        path = Path(len(self.paths) + 1, (reader, writer), there)
        # The port at the server's side tells which of its links this is.
        path.port = there[1].get_extra_info("sockname")[1]
        self.paths.append(path)
        for a, b in ((path.here, path.there), (path.there, path.here)):
            task = asyncio.create_task(self._pump(path, a[0], b[1]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(self, path, reader, writer):
        try:
            while True:
                data = await reader.read(1 << 16)
                if not path.passes.is_set() and self.on_held is not None:
                    self.on_held(path, data)
                await path.passes.wait()
                if not data:
                    break
                writer.write(data)
            writer.write_eof()
        except (ConnectionError, OSError):
            await path.passes.wait()
            writer.transport.abort()

    def silence(self, path):
        self.record("way to " + self.server.name, f"connection {path.number} goes silent, and stays open")
        path.passes.clear()

    def go_on(self, path):
        self.record("way to " + self.server.name, f"connection {path.number} goes on")
        path.passes.set()

    def of_link(self, link):
        peer = link.writer.get_extra_info("peername")
        return next((p for p in self.paths if peer and p.port == peer[1]), None)

    async def end(self):
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for path in self.paths:
            for _, writer in (path.here, path.there):
                try:
                    writer.transport.abort()
                except Exception:
                    pass


def overlapping(servers, call):
    """Pairs of attempts of a call of which the second reached its server whole while the first was out."""
    all_attempts = sorted((a for s in servers for a in s.attempts if a["call"] == call), key=lambda a: a["at"])
    pairs = []
    for i, a in enumerate(all_attempts):
        for b in all_attempts[i + 1:]:
            if a["ended"] is None or a["ended"] > b["at"]:
                pairs.append((a, b))
    return pairs


# ---- the name service ----

def dns_name(name):
    return b"".join(bytes([len(p)]) + p.encode() for p in name.split(".") if p) + b"\0"


class Names(asyncio.DatagramProtocol):
    """The name service: each query is answered with the whole list."""

    def __init__(self, record, servers):
        self.record, self.serial, self.silent = record, 1, False
        self.list = list(servers)   # entries as in `known`
        self.told = {}              # serial -> when an answer holding it was first sent
        self.port = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def change(self, entries):
        self.serial += 1
        self.list = list(entries)
        self.record("names", f"list {self.serial}: " + ", ".join(f"{e['id']} {e['state']}" for e in entries))

    def known(self):
        return {"seq": self.serial,
                "results": [{"seq": self.serial, "fleet": {"version": self.serial, "full": True, "servers": self.list}}]}

    def datagram_received(self, data, addr):
        if self.silent:
            return
        self.transport.sendto(self.answer(data), addr)
        if self.serial not in self.told:
            self.told[self.serial] = now()
            self.record("names", f"list {self.serial} told")

    def answer(self, query):
        ident, = struct.unpack(">H", query[:2])
        listed = [e for e in self.list if e["state"] != "Gone"]
        pool = dns_name("_back._tcp.pool.lan")

        def rr(name, kind, data):
            return name + struct.pack(">HHIH", kind, 1, 0, len(data)) + data
        answers, extra = b"", b""
        for e in listed:
            target = dns_name(f"{e['id']}.{e['zone']}.hosts")
            host, port = e["addr"].split(":")
            priority = 0 if e["state"] == "Ready" else 1
            answers += rr(pool, 33, struct.pack(">HHH", priority, int(10 * e["weight"]), int(port)) + target)
            extra += rr(target, 1, socket.inet_aton(host))
            texts = [f"kind={e['kind']}", f"cell={e['cell']}", f"started={int(e['started_ms'])}"]
            extra += rr(target, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
        soa = dns_name("ns.lan") + dns_name("admin.lan") + struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        head = struct.pack(">HHHHHH", ident, 0x8400, 1, len(listed), 1, 2 * len(listed))
        return head + pool + struct.pack(">HH", 33, 1) + answers + rr(dns_name("lan"), 6, soa) + extra


# ---- callers ----

def parameter(code, value):
    value = value if isinstance(value, bytes) else str(value).encode()
    return struct.pack(">BH", code, len(value)) + value


def message(kind, call, parameters=b""):
    return struct.pack(">HBQ", 9 + len(parameters), kind, call) + parameters


class Caller:
    """A caller's connection. What it sends and hears is kept by call."""

    numbers = 0

    def __init__(self, record, name=None):
        Caller.numbers += 1
        self.record, self.name = record, name or f"caller {Caller.numbers}"
        self.heard = []     # (at, kind, call, parameters)
        self.sent = {}      # call -> when its last byte was written
        self.wait = {}
        self.closed_at = None
        self.waiters = []
        self.acks = True

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read())
        return self

    async def _read(self):
        try:
            while True:
                length, = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(length)
                kind, call = struct.unpack(">BQ", body[:9])
                parameters, rest = {}, body[9:]
                while rest:
                    code, n = struct.unpack(">BH", rest[:3])
                    parameters[code], rest = rest[3:3 + n], rest[3 + n:]
                self.heard.append((now(), kind, call, parameters))
                if kind not in (6, 53):
                    self.record(self.name, f"hears type {kind} of {call:016x} {cause_of(parameters)}")
                if kind == 12 and self.acks:
                    self.writer.write(message(16, call))
                for waiter in list(self.waiters):
                    waiter.set()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        self.closed_at = now()
        self.record(self.name, "its connection has ended")
        for waiter in list(self.waiters):
            waiter.set()

    def set_up_bytes(self, call, klass="photo-fetch", wait_ms=3000, dest=0, number=None, description=None):
        return message(1, call, parameter(129, klass) + parameter(130, int(wait_ms))
                       + parameter(133, f"{number if number is not None else call:016x}")
                       + parameter(134, f"dest:{dest};width:1;via:-1")
                       + parameter(144, description or f"{call:016x}\r\nc=IN IP4 127.0.0.1"))

    def set_up(self, call, klass="photo-fetch", wait_ms=3000, dest=0, number=None, description=None):
        self.writer.write(self.set_up_bytes(call, klass, wait_ms, dest, number, description))
        self.sent[call], self.wait[call] = now(), wait_ms
        self.record(self.name, f"sends the set-up {call:016x}: {klass}, waits {wait_ms} ms, first choice {dest}")

    def release(self, call):
        self.record(self.name, f"sends a release of {call:016x}")
        self.writer.write(message(12, call, parameter(143, bytes([16]))))

    async def test(self, timeout=1.0):
        call = 0x7e57 << 40
        mark = len(self.heard)
        self.writer.write(message(52, call, parameter(143, b"\0")))
        got = await self.until(lambda: next((h for h in self.heard[mark:] if h[1] == 53), None), timeout)
        return got is not None and got[3].get(143) == b"\1"

    def finals(self, call):
        """The answers and releases of this call, in order: (at, kind, cause)."""
        return [(at, kind, parameters.get(143, b"\0")[0] if kind == 12 else None, parameters)
                for at, kind, c, parameters in self.heard if c == call and kind in (9, 12)]

    async def until(self, what, timeout):
        end = now() + 1000.0 * timeout
        while True:
            got = what()
            if got or (self.closed_at is not None):
                return got
            left = end - now()
            if left <= 0:
                return None
            event = asyncio.Event()
            self.waiters.append(event)
            try:
                await asyncio.wait_for(event.wait(), left / 1000.0)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.remove(event)

    async def final(self, call, timeout, count=1):
        return await self.until(lambda: self.finals(call) if len(self.finals(call)) >= count else None, timeout)

    def close(self):
        try:
            self.writer.close()
        except Exception:
            pass

    def end(self):
        self.task.cancel()
        try:
            self.writer.transport.abort()
        except Exception:
            pass


def cause_of(parameters):
    if 143 in parameters:
        return f"cause {parameters[143][0]}"
    return "with a description" if 144 in parameters else ""


# ---- the platform ----

def settings(**changes):
    """Settings like those of a small deployment: the example of the wire's page, with these changes."""
    s = {
        "ceilings": {"attempts_cap": 6, "cancel": True, "conn_idle_ms": 600000.0, "dial_timeout_ms": 500.0,
                     "max_retry_after_ms": 2000.0, "may_tell": False, "open_cap": 20000, "parallel_tries": False,
                     "probing": False, "retry_after": True},
        "clients": {"marks_retry": True}, "discovery": "pushed", "family": "trunks", "index": 0, "siblings": 1,
        "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
        "rules": {"answer_slack_ms": 20.0, "cold_from": 0.37, "cold_ms": 14000.0, "drain_grace_ms": 1000.0,
                  "fall_ms": 2000.0, "fall_multiple": 3.0},
        "services": [
            {"name": "photo-fetch", "deadline_ms": 9000.0, "target_ms": 1200.0, "worth": 1.0, "late_worth": 0.25,
             "effect": "pure", "streamed": True},
            {"name": "verdict-set", "deadline_ms": 9000.0, "target_ms": 2000.0, "worth": 3.0, "late_worth": 0.1,
             "effect": "pure", "streamed": True},
            {"name": "batch-list", "deadline_ms": 9000.0, "target_ms": 2500.0, "worth": 1.0, "late_worth": 0.1,
             "effect": "pure", "streamed": True}],
        "specifics": {"call_length_ms": [10900.0, 16300.0, 7600.0], "class_width": [1, 1, 1], "far_reports": "answers",
                      "guard_ms": 200.0, "pools_by_class": [[0, 1], [0, 1], [0, 1]], "route_advice": False,
                      "says_wait": False, "shape": "pools", "t1_ms": 0.0, "this_node": -1},
        "tenants": [], "zones": ["aarhus", "copenhagen"],
    }
    for path, value in changes.items():
        at = s
        *parts, last = path.split("__")
        for part in parts:
            at = at[part]
        at[last] = value
    return s


class Node:
    """One border controller, started as the deploy file says."""

    def __init__(self, record, names, name="n1", settings_=None, sockets=1024, env=None, args="", log="info"):
        self.record, self.names, self.name = record, names, name
        self.folder = tempfile.mkdtemp(prefix="corkreach-review-")
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.port = free_port()
        self.management = free_port()
        self.settings = settings_ or settings()
        self.sockets, self.env, self.args, self.log = sockets, env or {}, args, log
        self.process, self.starts = None, 0
        self.exits = []
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            self.run = tomllib.load(f)["run"]
        binary = self.run.replace("exec ", "").split()[0]
        if not os.path.exists(os.path.join(ROOT, binary)):
            raise CannotRun(f"{binary} is not built")
        self.nodes_log = open(os.path.join(self.folder, "log.txt"), "ab")

    def write_config(self, dns=None):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "management": f"127.0.0.1:{self.management}",
                  "seed": f"{time.time_ns() & (2**64 - 1):016x}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "dns": f"127.0.0.1:{dns or self.names.port}", "known": self.names.known(), "settings": self.settings}
        config.update(self.extra_config())
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as f:
            json.dump(config, f)
        os.rename(path + ".new", path)
        return path

    def extra_config(self):
        return {}

    async def start(self, ready=True):
        self.names.silent = False if self.starts == 0 else self.names.silent
        path = self.write_config()
        env = dict(os.environ, GW_NAME=self.name, GW_LISTEN=f"127.0.0.1:{self.port}", GW_CONFIG=path,
                   GW_MANAGEMENT=f"127.0.0.1:{self.management}", TMPDIR=self.tmp, **self.env)
        command = self.run + (f" --log {self.log}") + self.args
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.nodes_log, stderr=self.nodes_log, preexec_fn=end_with_the_script)
        self.starts += 1
        self.record(self.name, "started")
        if ready:
            await self.until_ready()

    async def until_ready(self, timeout=10.0):
        end = now() + 1000.0 * timeout
        while now() < end:
            if self.process.returncode is not None:
                raise CannotRun("the border controller ended: " + self.log_text()[-400:])
            try:
                probe = await Caller(lambda *_: None).connect(self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            passed = await probe.test()
            probe.end()
            if passed:
                self.record(self.name, "is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the border controller is not ready")

    def signal(self, number):
        self.record(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, timeout):
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None
        self.record(self.name, f"ended with {self.process.returncode}")
        return self.process.returncode

    def log_text(self):
        with open(os.path.join(self.folder, "log.txt"), "r", encoding="utf-8", errors="replace") as f:
            return f.read()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.nodes_log.close()
        if os.environ.get("KEEP"):
            print("log:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Plays a case: `case(record, trouble)` gives the breaks of the rule, as texts. Ends with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("case", "with the disruption" if trouble else "without the disruption")

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, trouble), 110)
        finally:
            await asyncio.sleep(0.05)
    try:
        breaks = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:
        record("case", f"could not run: {e!r}")
        print(f"could not run: {e!r}")
        sys.stdout.flush()
        os._exit(2)
    for b in breaks:
        record("BROKEN", b)
        print("broken:", b)
    record("case", "the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    sys.stdout.flush()
    record.file.close()
    # Without the destructors of connections that are gone.
    os._exit(1 if breaks else 0)
