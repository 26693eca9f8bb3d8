"""Stand-ins of the platform's store, minions and clients, and the start of a small deployment on loopback.

Each case imports this module. It uses the standard library only. Everything that the stand-ins see is written to
`record.txt` in the folder of the case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_MS = 1100
HOLD_MAX_MS = 6000
STOP_MS = 900
CONTACT_MS = 3000
CANCEL_MS = 3000
LISTED_ENDS = 500
PARTS = 12
SERVICE = "seatbook"
HOST = "seats.example"
PREFIX = "/rebalance/"


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def verdict(self, text):
        self.line(text)
        print(text)

    def close(self):
        self.file.close()


# HTTP/1.1 with bodies of a known length.

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Silence(Exception):
    """The request gets no answer, and nothing more comes on its connection."""


class HttpServer:
    """Serves requests. `handler` takes method, path, query, headers and body, and returns status and body."""

    def __init__(self, address, handler):
        self.address = address
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, backlog=2000, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, answer = await self.handler(method, path, pairs, headers, body)
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(response_bytes(status, answer))
                await writer.drain()
        except Silence:
            await asyncio.sleep(3600)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes the listener and resets all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


def response_bytes(status, body):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/json\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


async def read_message(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def request(address, method, path, body=None, headers=None, limit=3.0):
    """Sends one request. Returns status and body, or `None` if there is no complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"host": HOST, "content-length": str(len(data)), "content-type": "application/json"}
            fields.update(headers or {})
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            message = await read_message(reader)
            if message is None:
                return None
            first, _, answer = message
            return int(first.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's store, form "log".


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()

    def push(self, records):
        offset = len(self.records)
        for key, value, raw in records:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(raw)
        return {"offset": offset, "end": len(self.records)}

    def append(self, records, writer):
        if writer is None:
            return 200, self.push(records)
        producer, epoch, sequence = writer
        known = self.producers.setdefault(producer, {"epoch": 0, "recent": []})
        if epoch < known["epoch"]:
            return 409, {"reason": "fenced"}
        if epoch == known["epoch"] and known["recent"]:
            for number, first in known["recent"]:
                if number == sequence:
                    return 200, first
            expected = known["recent"][-1][0] + 1
            if sequence != expected:
                return 409, {"reason": "seq", "sequence": expected}
        if epoch > known["epoch"]:
            known["recent"] = []
        known["epoch"] = epoch
        appended = self.push(records)
        known["recent"] = known["recent"][-4:] + [(sequence, appended)]
        return 200, appended


class Store:
    """The platform's store. `trouble` may delay, refuse or lose calls: it is awaited with the kind of the call
    (`append`, `read` or `newest`), the topic, the partition and the records, and returns `None` or an answer."""

    def __init__(self, address, record):
        self.http = HttpServer(address, self.handle)
        self.record = record
        self.parts = {}
        self.changed = asyncio.Condition()
        self.trouble = None

    def part(self, topic, part):
        return self.parts.setdefault((topic, part), Partition())

    async def handle(self, method, path, query, headers, body):
        call = path.removeprefix("/log-")
        topic, part = query.get("topic", ""), query.get("part", "0")
        records = decode_records(body) if call == "append" else []
        if self.trouble is not None:
            answer = await self.trouble(call, topic, part, records, query)
            if answer is not None:
                return answer
        if call == "append":
            return await self.append(topic, part, records, query)
        if call == "read":
            return await self.read(topic, part, query)
        if call == "newest":
            return await self.read_newest(topic, part, query)
        return 404, {}

    async def append(self, topic, part, records, query):
        partition = self.part(topic, part)
        async with partition.lock:
            await asyncio.sleep(0.002)
            return await self.apply(partition, records, query)

    async def apply(self, partition, records, query):
        writer = None
        if "producer" in query:
            writer = (query["producer"], int(query.get("epoch", 0)), int(query.get("sequence", 0)))
        status, answer = partition.append(records, writer)
        async with self.changed:
            self.changed.notify_all()
        return status, answer

    async def put(self, topic, key, value):
        """Writes as the operator does."""
        raw = bytes([len(key)]) + key.encode() + value
        self.part(topic, "0").push([(key.encode(), value, raw)])
        async with self.changed:
            self.changed.notify_all()

    async def read(self, topic, part, query):
        partition = self.part(topic, part)
        start = int(query.get("from", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        await asyncio.sleep(0.002)
        while start >= len(partition.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                break
        body = len(partition.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        limit = int(query.get("maxKb", 1024)) * 1024
        parts, size = [body], 0
        for raw in partition.records[start:]:
            if size and size + len(raw) > limit:
                break
            parts.append(len(raw).to_bytes(4, "big") + raw)
            size += len(raw) + 4
        return 200, b"".join(parts)

    async def read_newest(self, topic, part, query):
        partition = self.part(topic, part)
        await asyncio.sleep(0.002)
        after = query.get("dependsOn")
        keys = sorted(key for key in partition.newest if after is None or key > unquote(after))
        items = []
        for key in keys[:500]:
            value, offset = partition.newest[key]
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(keys) > 500, "end": len(partition.records)}


def unquote(text):
    out, at = bytearray(), 0
    while at < len(text):
        if text[at] == "%":
            out.append(int(text[at + 1:at + 3], 16))
            at += 3
        else:
            out.append(ord(text[at]))
            at += 1
    return bytes(out)


def decode_records(body):
    records, at = [], 0
    while at < len(body):
        length = int.from_bytes(body[at:at + 4], "big")
        raw = body[at + 4:at + 4 + length]
        key_length = raw[0]
        records.append((raw[1:1 + key_length], raw[1 + key_length:], raw))
        at += 4 + length
    return records


# Minions.


class Run:
    """One run of a task, as its minion saw it."""

    def __init__(self, task, number, minion, life, at):
        self.task = task
        self.number = number
        self.minion = minion
        self.life = life
        self.started = at
        self.ended = None
        self.how = None
        self.noted = None
        self.lapsed_between = False
        self.cpu = 0
        self.counted = 0
        self.total = None


class Minion:
    """A minion beside an agent. Its tasks take the time that their spec states."""

    def __init__(self, number, address, agent, world, cores=64, kind="a"):
        self.number = number
        self.address = address
        self.agent = agent
        self.world = world
        self.record = world.record
        self.capacity = {"cpu": cores * 1000, "memMb": cores * 4000, "gpu": 0}
        self.labels = [kind, f"r1-{number}"]
        self.http = HttpServer(address, self.handle)
        self.life = 0
        self.up = False
        self.id = None
        self.tasks = []
        self.draining = False
        self.cut = False

    async def start(self, keeps_id=False, first_beat_s=0.0):
        """Starts a life."""
        self.life += 1
        if self.id is None or not keeps_id:
            self.id = f"i-{self.number:02d}{random.randrange(16 ** 6):06x}"
        self.born = time.time_ns() // 1_000_000
        self.zero = time.monotonic()
        self.running = {}
        self.timers = {}
        self.ends = []
        self.end_count = 0
        self.highest = {}
        self.lease_end = 0
        self.has_lease = False
        self.sequence = 0
        self.listed = asyncio.Event()
        self.up = True
        if self.http.server is None:
            await self.http.start()
        self.record.line(f"minion {self.id} life {self.life} starts, born {self.born}")
        self.tasks = [asyncio.create_task(self.beat(first_beat_s)), asyncio.create_task(self.watch_lease())]

    def crash(self):
        """Ends the life at once. Everything that runs ends with it, and nothing is told to anybody."""
        if not self.up:
            return
        self.up = False
        self.record.line(f"minion {self.id} life {self.life} crashes; {len(self.running)} tasks were running")
        for task in self.tasks:
            task.cancel()
        for timer in self.timers.values():
            timer.cancel()
        for run in self.running.values():
            run.ended, run.how = self.record.now(), "gone"
        self.running = {}
        if not self.cut:
            self.http.crash()

    def heal(self):
        """Ends the cut. Connections to an earlier life are reset."""
        self.cut = False
        for writer in list(self.http.writers):
            writer.transport.abort()

    def percent(self, run):
        if run.total is None:
            return 100
        return min(99, int((self.record.now() - run.started) * 100_000 / run.total))

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.zero) * 1000)

    async def beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            began = time.monotonic()
            self.sequence += 1
            body = {"service": SERVICE, "address": f"{self.address[0]}:{self.address[1]}", "zone": "windhoek-north",
                    "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                    "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self.clock_ms(), "sequence": self.sequence, "born": self.born}
            if self.cut:
                await asyncio.sleep(1.0)
                answer = None
            else:
                answer = await request(self.agent, "PUT", f"/instances/{self.id}", body, limit=1.0)
            if self.sequence == 1 or answer is None or answer[0] != 200:
                status = "none" if answer is None else answer[0]
                self.record.line(f"minion {self.id} life {self.life} beat {self.sequence}: answer {status}")
            await asyncio.sleep(max(0.05, HEARTBEAT_MS / 1000 - (time.monotonic() - began)))

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.has_lease and self.clock_ms() > self.lease_end:
                self.has_lease = False
                self.record.line(f"minion {self.id} life {self.life}: its lease lapses, {len(self.running)} run")
                self.world.note_lapse(self)
                for task in list(self.running):
                    self.end(task, "lapsed")

    def extend(self, deadline):
        now = self.clock_ms()
        self.lease_end = max(self.lease_end, min(deadline, now + HOLD_MAX_MS))
        self.has_lease = self.lease_end > now

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        timer = self.timers.pop(task, None)
        if timer is not None:
            timer.cancel()
        run.ended, run.how = self.record.now(), how
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.end_count += 1
        self.ends.append((self.end_count, run))
        self.record.line(f"run {task} #{run.number} on {self.id} life {self.life} ends: {how} (end {self.end_count})")
        self.listed.set()

    async def handle(self, method, path, query, headers, body):
        life = self.life
        answer = await self.answer(path, headers, body)
        if self.cut or life != self.life:
            raise Silence
        return answer

    async def answer(self, path, headers, body):
        if self.cut or not self.up:
            raise Silence
        expected = headers.get("x-agatenotch-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {"clockMs": self.clock_ms()}
        call = json.loads(body or b"{}")
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            return self.run_stop(call)
        if path == "/hold":
            return await self.hold(call)
        if path == "/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def run_start(self, call):
        task, number = call["task"], call["runId"]
        if call["deadlineMs"] < self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.extend(call["deadlineMs"])
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if known is not None or number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        work = json.loads(call["spec"])
        run = Run(task, number, self, self.life, self.record.now())
        run.counted = 0 if work["fills"] else work["cpu"]
        used = sum(other.counted for other in self.running.values())
        if used + run.counted > self.capacity["cpu"]:
            return 409, {"clockMs": self.clock_ms(), "reason": "room"}
        run.cpu, run.total = work["cpu"], work["ms"]
        if isinstance(run.total, list):
            run.total = run.total[min(number, len(run.total)) - 1]
        self.running[task] = run
        self.world.runs.setdefault(task, []).append(run)
        self.record.line(f"run {task} #{number} on {self.id} life {self.life} starts")
        if run.total is not None:
            timer = asyncio.get_running_loop().call_later(run.total / 1000, self.end, task, work["how"])
            self.timers[task] = timer
        return 200, {"clockMs": self.clock_ms()}

    def run_stop(self, call):
        task, number = call["task"], call["runId"]
        self.record.line(f"stop {task} #{number} on {self.id} life {self.life}")
        self.highest[task] = max(self.highest.get(task, 0), number)
        known = self.running.get(task)
        if known is not None and known.number <= number:
            self.end(task, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, call):
        life, seen = self.life, call.get("lastSeen", 0)
        for number, run in self.ends:
            if number <= seen:
                run.noted = self.record.now()
                self.record.line(f"end {number} of {self.id} life {life} is taken note of "
                                 f"(lastSeen {seen}): {run.task} #{run.number} {run.how}")
        self.ends = [(number, run) for number, run in self.ends if number > seen]
        if "deadlineMs" in call:
            self.extend(call["deadlineMs"])
        wait = min(call.get("waitMs", 0), 2000) / 1000
        if not self.ends and wait > 0:
            self.listed.clear()
            try:
                async with asyncio.timeout(wait):
                    await self.listed.wait()
            except TimeoutError:
                pass
        running = [[task, run.number, "", self.percent(run), run.cpu] for task, run in self.running.items()]
        finished = [[number, run.task, run.number, run.how, ""] for number, run in self.ends[:LISTED_ENDS]]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "finished": finished}


# The deployment.


class World:
    """A small deployment: entries, and agents with a minion each, on loopback addresses."""

    def __init__(self, folder, entries=3, minions=3, cores=64, kinds=None):
        self.record = Record(folder)
        self.runs = {}
        self.processes = []
        self.logs = Path(tempfile.mkdtemp(prefix="review-"))
        self.entry_count, self.minion_count, self.cores = entries, minions, cores
        self.kinds = kinds or ["a"] * minions
        self.entries, self.agents, self.minions = [], [], []

    def note_lapse(self, minion):
        """An end that isn't taken note of when the lease lapses is excused for good."""
        for _, run in minion.ends:
            run.lapsed_between = True

    async def start(self):
        program = ROOT / "target/release/agate-platform-entry"
        if not program.exists():
            raise CannotRun(f"{program.name} is not built")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        network = free_network(self.entry_count + self.minion_count + 1)
        ports = free_ports(network(0), 6)
        self.ports = dict(zip(["frontend", "readiness", "control", "metrics", "relay", "app"], ports))
        self.store = Store((network(0), ports[0]), self.record)
        await self.store.http.start()
        await self.store.put("keyed.op", "config", json.dumps(config()).encode())
        seeds = ",".join(f"{network(1 + n)}:{self.ports['control']}" for n in range(min(3, self.entry_count)))
        for number in range(self.entry_count + self.minion_count):
            is_entry = number < self.entry_count
            address = network(1 + number)
            name = f"frontend-{number + 1}" if is_entry else f"side-{number + 1 - self.entry_count}"
            settings = {
                "nodeName": name, "ip": address, "seeds": seeds, "platform.parts": PARTS,
                "platform.address": f"{network(0)}:{ports[0]}", "limits.cpuShare": 0.25 if is_entry else 0.15,
                "bindAddrs.frontend": f"{address}:{self.ports['frontend']}",
                "bindAddrs.readiness": f"{address}:{self.ports['readiness']}",
                "bindAddrs.controlPlane": f"{address}:{self.ports['control']}",
                "internalPorts.0": self.ports["metrics"], "internalPorts.1": self.ports["relay"],
                "bounds.holdMaxMs": HOLD_MAX_MS, "bounds.evacuateMs": "", "bounds.status_s": 120, "bounds.graceS": 6,
            }
            command = deploy["roles"]["entry" if is_entry else "agent"]["run"]
            for key, value in settings.items():
                command = command.replace("{{" + key + "}}", str(value))
            if "{{" in command:
                raise CannotRun(f"a placeholder is not known: {command}")
            process = Process(name, command, self.logs, self.record)
            self.processes.append(process)
            (self.entries if is_entry else self.agents).append(process)
            process.address = address
            process.start()
            if not is_entry:
                at = number - self.entry_count
                minion = Minion(at + 1, (address, self.ports["app"]), (address, self.ports["control"]), self,
                                self.cores, self.kinds[at])
                self.minions.append(minion)
        await self.wait_ready()
        for minion in self.minions:
            await minion.start()
        await asyncio.sleep(4)

    async def wait_ready(self):
        until = time.monotonic() + 15
        for entry in self.entries:
            while True:
                answer = await request((entry.address, self.ports["readiness"]), "GET", "/readyz", limit=1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} does not get ready")
                await asyncio.sleep(0.1)

    async def call(self, method, job, body=None, entry=0, limit=3.0, quiet=False):
        """Sends a client's request about a job. Returns status and body, or `None`."""
        headers = {"X-Agatenotch-Deadline-Ms": str(int(limit * 1000))}
        address = (self.entries[entry].address, self.ports["frontend"])
        if not quiet:
            self.record.line(f"client sends {method} {PREFIX}{job} to {self.entries[entry].name}")
        answer = await request(address, method, PREFIX + job, body, headers, limit)
        if not quiet:
            shown = "no answer" if answer is None else f"{answer[0]} {answer[1].decode()[:120]}"
            self.record.line(f"client gets for {method} {job}: {shown}")
        return answer

    async def state(self, job, entry=0, quiet=False):
        answer = await self.call("GET", job, entry=entry, quiet=quiet)
        if answer is None or answer[0] != 200:
            return None if answer is None else str(answer[0])
        return json.loads(answer[1])["state"]

    async def submit(self, job, phases, ms, entry=0, how="done"):
        """Submits a job until it is accepted, as clients do."""
        body = job_body(phases, ms, how)
        for _ in range(10):
            answer = await self.call("POST", job, body, entry=entry)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(1)
        raise CannotRun(f"job {job} is not accepted")

    def stop(self):
        for minion in self.minions:
            minion.up = False
        for process in self.processes:
            process.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.logs, keep, dirs_exist_ok=True)
        shutil.rmtree(self.logs, ignore_errors=True)
        self.record.close()


class Process:
    """One of the project's programs."""

    def __init__(self, name, command, logs, record):
        self.name = name
        self.command = command.split()
        self.log = logs / f"{name}.log"
        self.record = record
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.record.line(f"process {self.name} is started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)


def config():
    route = {"name": "r-rebalance", "host": HOST, "pathPrefix": PREFIX, "kind": "unsafe", "timeoutMs": 3000,
             "targetLatencyMs": 1000, "priority": 0, "service": SERVICE, "maxAttempts": 3, "stretchFactor": 2.0}
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
               "rejectsOverload": True, "standby": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": 1, "routes": [route], "services": [service], "limits": limits}


def job_body(phases, ms, how="done"):
    """A job. The minions read from the spec how long a task takes (a list: by the number of the run; nothing: until it
    is stopped), how it ends and how much processor it has."""
    work = {"ms": ms, "how": how, "cpu": phases[0]["cpu"], "fills": phases[0].get("fills", False)}
    return {"spec": json.dumps(work), "phases": phases}


def job_id():
    return f"{random.randrange(16 ** 16):016x}"


def free_network(count):
    """Returns a function from a number to a loopback address."""
    for _ in range(50):
        second, third = random.randrange(1, 250), random.randrange(0, 250)
        addresses = [f"127.{second}.{third}.{n + 1}" for n in range(count)]
        if all(can_bind(address, 0) for address in addresses):
            return lambda number: addresses[number]
    raise CannotRun("no loopback addresses are free")


def free_ports(address, count):
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 30_000)
        if port not in ports and can_bind(address, port) and can_bind("127.0.0.1", port):
            ports.append(port)
    return ports


def can_bind(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
            return True
        except OSError:
            return False


def twice(world):
    """Returns the breaks of TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if
    that end is taken note of then or later and the minion's lease did not lapse between the two."""
    found = []
    for task, runs in world.runs.items():
        for first in runs:
            for other in runs:
                if other is first or other.started < first.started:
                    continue
                overlaps = first.ended is None or other.started < first.ended
                is_after_done = (first.how == "done" and first.noted is not None and not first.lapsed_between
                                 and other.started > first.ended)
                if overlaps or is_after_done:
                    reason = "while the first runs" if overlaps else "after the first has ended done"
                    found.append(f"{task}: run {first.number} on {first.minion.id} and run {other.number} on "
                                 f"{other.minion.id}, {reason}")
    return found


def main(case, **options):
    """Runs `case(world)`, which returns the broken rules. Exits with 1 if there are any, 0 if there are none, and 2
    if the case could not run."""
    folder = Path(sys.argv[0]).resolve().parent

    async def run():
        world = World(folder, **options)
        try:
            async with asyncio.timeout(110):
                await world.start()
                world.record.line(f"the deployment is up; trouble: {TROUBLE}")
                return finish(world, await case(world))
        except CannotRun as error:
            world.record.verdict(f"COULD NOT RUN: {error}")
            return 2
        except TimeoutError:
            world.record.verdict("COULD NOT RUN: out of time")
            return 2
        finally:
            world.stop()

    # The processes are ended also if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)


def finish(world, broken):
    for text in broken:
        world.record.line(f"BROKEN {text}")
    world.record.verdict(f"{len(broken)} breaks; first: {broken[0]}" if broken else "the rule held")
    return 1 if broken else 0
