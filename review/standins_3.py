"""Stand-ins of the users' platform for the scripts of review/11 to review/15, after PROTOCOL.md and DEPLOY.md.

Store, minions and clients run in one process on loopback addresses; the project's programs are separate
processes, started with the commands of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

# Figures of the site kehilla-seats and of the settings in DEPLOY.md.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_MS = 2.0
ANSWER_MS = 4.0
PARTS = 12
HEARTBEAT_MS = 1_100
HOLD_MAX_MS = 6_000
STOP_MS = 900
GANG_TIMEOUT_MS = 3_000
CONTACT_MS = 3_000
FINISH_S = 14
CHECKPOINT_S = 0.5
RESTORE_MS = 100
STATUS_S = 120
GRACE_S = 6
SERVICE = "seatbook"


class Unable(Exception):
    """The case could not run."""


class Recorder:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


# HTTP


async def read_message(reader):
    """Reads the first line, the headers and the body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                parts.append(await reader.readexactly(size))
                await reader.readline()
                if size == 0:
                    break
            body = b"".join(parts)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def encode_response(status, body, kind="application/json"):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """An HTTP/1.1 server. The handler returns (status, body), or None to close without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.tasks = set()

    async def open(self, address):
        host, port = address
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24, backlog=512)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                answer = await self.handler(method, path, pairs, headers, body)
                if answer is None:
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()


async def call(address, method, path, body=b"", headers=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            fields = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


# The store


class Partition:
    def __init__(self):
        self.records = []  # (key, value), by offset
        self.newest = {}  # key: (offset, value)
        self.writers = {}  # producer: [epoch, next sequence or None, {sequence: answer}]
        self.changed = asyncio.Event()
        self.queue = asyncio.Lock()

    def add(self, records):
        offset = len(self.records)
        for raw in records:
            key, value = raw[1 : 1 + raw[0]], raw[1 + raw[0] :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(raw)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


class Store:
    """The platform's log. It keeps the whole history, which lasts 300 s there."""

    def __init__(self, recorder):
        self.recorder = recorder
        self.partitions = {}
        self.too_large = 0

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, key, value):
        """Writes a record of the operator."""
        raw = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
        return self.partition("keyed.op", "0").add([raw])

    async def handle(self, method, path, query, _headers, body):
        await asyncio.sleep(ANSWER_MS / 1_000)
        partition = self.partition(query.get("topic", ""), query.get("part", ""))
        if path == "/log-append":
            return await self.append(partition, query, body)
        if path == "/log-read":
            return await self.read(partition, query)
        if path == "/log-newest":
            return self.list_newest(partition, query)
        return 404, {}

    async def append(self, partition, query, body):
        records, at = [], 0
        while at < len(body):
            if at + 4 > len(body):
                return 400, {}
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if at != len(body) or any(not raw for raw in records):
            return 400, {}
        longest = max((len(raw) for raw in records), default=0)
        if longest > RECORD_BYTES or sum(map(len, records)) > REQUEST_BYTES:
            self.too_large += 1
            keys = {raw[1 : 1 + raw[0]].decode(errors="replace").split("/")[0] for raw in records}
            self.recorder.note(
                f"store: 413 to an append of {len(records)} records, {len(body)} bytes, to "
                f"{query.get('topic')}/{query.get('part')}, keys of {','.join(sorted(keys))}"
            )
            return 413, {}
        async with partition.queue:
            await asyncio.sleep(APPEND_MS / 1_000)
            if "at" in query and int(query["at"]) != len(partition.records):
                return 412, {"end": len(partition.records)}
            if "producer" not in query:
                return 200, partition.add(records)
            epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
            writer = partition.writers.setdefault(query["producer"], [-1, None, {}])
            if epoch < writer[0]:
                return 409, {"reason": "fenced"}
            if epoch > writer[0]:
                writer[:] = [epoch, None, {}]
            if sequence in writer[2]:
                return 200, writer[2][sequence]
            if writer[1] is not None and sequence != writer[1]:
                return 409, {"reason": "seq", "sequence": writer[1]}
            answer = partition.add(records)
            writer[1] = sequence + 1
            writer[2][sequence] = answer
            for old in list(writer[2])[:-5]:
                del writer[2][old]
            return 200, answer

    async def read(self, partition, query):
        start = int(query.get("from", 0))
        limit = int(query.get("maxKb", 1_024)) * 1_024
        deadline = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1_000
        while start >= len(partition.records):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        parts, size = [struct.pack(">QQ", len(partition.records), 0)], 0
        for raw in partition.records[start:]:
            if parts[1:] and size + len(raw) + 4 > limit:
                break
            parts.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw) + 4
        return 200, b"".join(parts), "application/octet-stream"

    def list_newest(self, partition, query):
        after = unquote(query.get("dependsOn", ""))
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = partition.newest[key]
            if items and (len(items) >= 500 or size + len(value) > 1_000_000):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
            size += len(value)
        answer = {"items": items, "hasMore": len(items) < len(keys), "end": len(partition.records)}
        return 200, answer


def unquote(text):
    return re.sub(rb"%([0-9A-Fa-f]{2})", lambda m: bytes([int(m[1], 16)]), text.encode())


# Minions


class Run:
    def __init__(self, task, number, checkpoint, clock):
        self.task = task
        self.number = number
        self.saved = checkpoint
        self.carried = checkpoint
        self.began = clock
        self.works_since = None
        self.worked_ms = 0
        self.stops_at = None


class Minion:
    """A minion on a machine with an agent. `plan(task)` gives a task's work in ms (None: it lasts), its
    demand in thousandths of a core and its size of checkpoints in bytes (0: none)."""

    def __init__(self, recorder, name, machine, plan, capacity, labels, hall=None):
        self.recorder = recorder
        self.name = name
        self.machine = machine
        self.plan = plan
        self.capacity = capacity
        self.labels = labels
        self.hall = hall
        self.address = (machine.ip, machine.app_port)
        self.starts = []  # (time, task, run, checkpoint), over all incarnations
        self.ends = []  # (time, task, run, how), over all incarnations
        self.up = False
        self.tasks = []
        self.clock_ahead_ms = 0  # of its machine's time of day

    async def start(self):
        self.born = time.time_ns() // 1_000_000 + self.clock_ahead_ms
        self.steady = time.monotonic()
        self.sequence = 0
        self.runs = {}
        self.closed = {}  # task: highest run that was stopped or has ended
        self.finished = []
        self.ended = 0
        self.lease_ms = 0
        self.listed = asyncio.Event()
        self.server = Server(self.handle)
        await self.server.open(self.address)
        self.up = True
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        self.recorder.note(f"{self.name}: up, born {self.born}")

    def crash(self):
        """Ends at once; all that ran is gone."""
        self.recorder.note(f"{self.name}: crashes with {len(self.runs)} runs")
        self.up = False
        for run in list(self.runs.values()):
            if self.hall:
                self.hall.leave(self, run)
        self.runs = {}
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def clock(self):
        return int((time.monotonic() - self.steady) * 1_000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {
                "service": SERVICE,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.machine.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.capacity, "memMb": 256_000, "gpu": 0},
                "labels": self.labels,
                "clockMs": self.clock(),
                "sequence": self.sequence,
                "born": self.born,
            }
            await call(
                self.machine.control, "PUT", f"/instances/{self.name}", json.dumps(body).encode(),
                {"Content-Type": "application/json"}, 1.0,
            )
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            clock = self.clock()
            if self.runs and clock > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
                continue
            for run in list(self.runs.values()):
                self.advance(run, clock)

    def advance(self, run, clock):
        if run.stops_at is not None:
            if clock >= run.stops_at:
                self.end(run, "stopped")
            return
        if self.is_waiting(run):
            if clock - run.began > GANG_TIMEOUT_MS:
                self.end(run, "alone")
            return
        self.advance_work(run)
        work_ms = self.plan(run.task)[0]
        if work_ms is not None and run.worked_ms >= work_ms:
            if self.is_member(run):
                self.hall.finish(run)
            self.end(run, "done")

    def is_member(self, run):
        return self.hall is not None and self.hall.is_member(run.task)

    def is_waiting(self, run):
        """Returns whether a member of a gang waits for the others."""
        return self.is_member(run) and not self.hall.is_complete(run)

    def advance_work(self, run):
        if self.is_waiting(run):
            return
        if run.works_since is None:
            run.works_since = self.clock() + (RESTORE_MS if run.carried else 0)
        worked_ms = max(0, self.clock() - run.works_since)
        if self.is_member(run):
            worked_ms = self.hall.worked_ms(run)
        run.worked_ms = worked_ms + worked_before(run)
        size, steps = self.plan(run.task)[2], int(worked_ms / (CHECKPOINT_S * 1_000))
        if size and steps:
            # The value of any member is valid for its gang.
            owner = self.hall.prefix if self.is_member(run) else run.task
            steps_in_all = int(run.worked_ms / (CHECKPOINT_S * 1_000))
            run.saved = checkpoint(owner, run.number, steps_in_all, size)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if self.hall:
            self.hall.leave(self, run)
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        saved = "" if how == "done" else run.saved
        self.ended += 1
        self.finished.append([self.ended, run.task, run.number, how, saved])
        self.ends.append((self.recorder.now(), run.task, run.number, how))
        self.recorder.note(f"{self.name}: {run.task} run {run.number} ends {how}")
        self.listed.set()
        self.listed = asyncio.Event()

    async def handle(self, _method, path, _query, headers, body):
        if headers.get("x-agatenotch-expect-instance", self.name) != self.name:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        try:
            message = json.loads(body)
        except ValueError:
            return 400, {}
        if path == "/run-start":
            return self.start_run(message)
        if path == "/run-stop":
            return self.stop_run(message)
        if path == "/hold":
            return await self.hold(message)
        if path == "/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def start_run(self, message):
        task, number, clock = message["task"], message["runId"], self.clock()

        def reject(reason):
            self.recorder.note(f"{self.name}: start of {task} run {number} is rejected, {reason}")
            return 409, {"clockMs": clock, "reason": reason}

        known = self.runs.get(task)
        if message["deadlineMs"] <= clock:
            return reject("late")
        self.extend(message["deadlineMs"])
        if known is not None and known.number == number:
            return 200, {"clockMs": clock}
        if number <= self.closed.get(task, 0) or (known is not None and number < known.number):
            return reject("old")
        used = sum(self.plan(other)[1] for other in self.runs)
        if used + self.plan(task)[1] > self.capacity:
            return reject("room")
        carried = message.get("checkpoint", "")
        run = Run(task, number, carried, clock)
        self.runs[task] = run
        if self.hall:
            self.hall.join(self, run)
        self.starts.append((self.recorder.now(), task, number, carried))
        self.recorder.note(
            f"{self.name}: starts {task} run {number}, checkpoint {brief(carried)}, spec of "
            f"{len(message.get('spec', ''))}"
        )
        return 200, {"clockMs": clock}

    def stop_run(self, message):
        task, number = message["task"], message["runId"]
        known = self.runs.get(task)
        if known is not None and known.number <= number:
            if known.stops_at is None:
                known.stops_at = self.clock() + 100
                self.advance_work(known)
        self.closed[task] = max(self.closed.get(task, 0), number)
        return 200, {"clockMs": self.clock()}

    async def hold(self, message):
        if message.get("deadlineMs") is not None:
            self.extend(message["deadlineMs"])
        seen = message.get("lastSeen", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        if not self.finished and message.get("waitMs"):
            try:
                await asyncio.wait_for(self.listed.wait(), min(message["waitMs"], 2_000) / 1_000)
            except asyncio.TimeoutError:
                pass
        clock = self.clock()
        running = []
        for run in self.runs.values():
            work_ms = self.plan(run.task)[0]
            percent = 100 if work_ms is None else min(99, run.worked_ms * 100 // max(work_ms, 1))
            in_use = 0 if self.is_waiting(run) else self.plan(run.task)[1]
            running.append([run.task, run.number, run.saved, percent, in_use])
        answer = {"clockMs": clock, "born": self.born, "running": running}
        answer["finished"] = self.finished[:500]
        return 200, answer


def worked_before(run):
    """Returns the work in ms that the checkpoint which a run carries stands for."""
    parts = run.carried.split(":")
    return int(int(parts[2]) * CHECKPOINT_S * 1_000) if len(parts) > 2 else 0


def checkpoint(task, number, steps, size):
    """Returns a checkpoint of this task and run, `size` characters long."""
    head = f"{task}:{number}:{steps}:"
    return (head + "0123456789abcdef" * (size // 16 + 1))[: max(size, len(head))]


def brief(text):
    return f"{text[:48]!r} ({len(text)})" if text else "none"


class Hall:
    """The members of a gang. They work together once all members of a run are present with the same
    checkpoint, and end `broken` when another member of a run at work ends."""

    def __init__(self, job, step, count):
        self.prefix = f"{job}.0.{step}"
        self.count = count
        self.present = {}  # run number: {task: (minion, run)}
        self.working = {}  # run number: since when all members work
        self.finished = set()

    def is_member(self, task):
        return task.startswith(self.prefix + ".")

    def join(self, minion, run):
        if not self.is_member(run.task):
            return
        members = self.present.setdefault(run.number, {})
        members[run.task] = (minion, run)
        if len(members) == self.count and len({member.carried for _, member in members.values()}) == 1:
            self.working[run.number] = time.monotonic()

    def is_complete(self, run):
        return run.number in self.working

    def worked_ms(self, run):
        return int((time.monotonic() - self.working[run.number]) * 1_000)

    def finish(self, run):
        """All members of a run end `done` together."""
        self.finished.add(run.number)
        for minion, member in list(self.present.get(run.number, {}).values()):
            if member is not run:
                minion.end(member, "done")

    def leave(self, _minion, run):
        members = self.present.get(run.number, {})
        if not self.is_member(run.task) or members.get(run.task, (None, None))[1] is not run:
            return
        del members[run.task]
        if run.number in self.working and run.number not in self.finished:
            for other, member in list(members.values()):
                other.end(member, "broken")


# Machines and the project's programs


class Machine:
    def __init__(self, name, role, ip, zone, ports):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.frontend = (ip, ports[0])
        self.readiness = (ip, ports[1])
        self.control = (ip, ports[2])
        self.app_port = ports[3]
        self.internal = (ports[4], ports[4] + 15)
        self.process = None
        self.incarnations = 0


def free_network():
    """Returns the first three numbers of unused loopback addresses and ports that are free on them."""
    for _ in range(50):
        net = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        base = random.randint(21_000, 29_000)
        ports = [base, base + 1, base + 2, base + 3, base + 100]
        try:
            for last in (1, 101, 200):
                for port in ports + [base + 115]:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", port))
            return net, ports
        except OSError:
            continue
    raise Unable("no free ports")


class Deployment:
    """Three entries, some agents with minions, and the store."""

    def __init__(self, recorder, agents, entries=3):
        self.recorder = recorder
        self.folder = tempfile.TemporaryDirectory()
        self.net, ports = free_network()
        zones = ["windhoek-north", "swakopmund", "windhoek-south"]
        self.entries = [
            Machine(f"frontend-{n}", "entry", f"{self.net}.{n + 1}", zones[n % 3], ports) for n in range(entries)
        ]
        self.agents = [
            Machine(f"side-{n}", "agent", f"{self.net}.{n + 101}", zones[n % 3], ports) for n in range(agents)
        ]
        self.store = Store(recorder)
        self.store_address = (f"{self.net}.200", ports[0])
        self.store_server = Server(self.store.handle)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    async def open(self, routes):
        await self.store_server.open(self.store_address)
        self.store.put("config", config(1, routes))
        for machine in self.entries + self.agents:
            self.start(machine)
        for machine in self.entries:
            for _ in range(100):
                answer = await call(machine.readiness, "GET", "/readyz", timeout=0.5)
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise Unable(f"{machine.name} did not become ready")

    def settings(self, machine):
        return {
            "nodeName": machine.name,
            "ip": machine.ip,
            "zone": machine.zone,
            "bindAddrs": {
                "frontend": text(machine.frontend),
                "readiness": text(machine.readiness),
                "controlPlane": text(machine.control),
            },
            "internalPorts": list(machine.internal),
            "seeds": [text(entry.control) for entry in self.entries[:3]],
            "bounds": {"holdMaxMs": HOLD_MAX_MS, "graceS": GRACE_S, "status_s": STATUS_S},
            "limits": {
                "memoryMb": 260 if machine.role == "entry" else 128,
                "maxFds": 4_100 if machine.role == "entry" else 4_096,
                "cpuShare": 0.25 if machine.role == "entry" else 0.15,
            },
            "platform": {"address": text(self.store_address), "parts": PARTS},
        }

    def start(self, machine):
        """Starts the program of a machine with the command of the deploy file."""
        command = render(self.roles[machine.role]["run"], self.settings(machine)).split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise Unable(f"{command[0]} is not built")
        machine.incarnations += 1
        log = os.path.join(self.folder.name, f"{machine.name}.{machine.incarnations}.log")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(log, "wb") as output:
            machine.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )
        machine.log = log
        self.recorder.note(f"{machine.name}: process {machine.incarnations} starts: {' '.join(command)}")

    def kill(self, machine):
        self.recorder.note(f"{machine.name}: SIGKILL")
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()

    def close(self):
        for machine in self.entries + self.agents:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.entries + self.agents:
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil

            shutil.copytree(self.folder.name, keep, dirs_exist_ok=True)
        self.folder.cleanup()

    def check_alive(self):
        """Returns the names of machines whose process has ended by itself."""
        return [m.name for m in self.entries + self.agents if m.process.poll() is not None]


def text(address):
    return f"{address[0]}:{address[1]}"


def render(template, settings):
    def value(match):
        found = settings
        for part in match[1].split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else ""
            else:
                found = found.get(part, "")
        if isinstance(found, list):
            return ",".join(map(str, found))
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def config(version, routes):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                "rejectsOverload": True, "standby": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    }


def route(name, prefix, priority=0, attempts=3, stretch=2.0, aim_ms=1_000):
    return {
        "name": name, "host": "nony24.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3_000,
        "targetLatencyMs": aim_ms, "priority": priority, "service": SERVICE, "maxAttempts": attempts,
        "stretchFactor": stretch,
    }


# Clients


class Client:
    """A client: it sends each request up to four times more if it gets no final answer."""

    def __init__(self, recorder, deployment):
        self.recorder = recorder
        self.deployment = deployment

    async def request(self, method, path, body=None, tries=5):
        data = json.dumps(body).encode() if body is not None else b""
        answer = None
        for attempt in range(tries):
            entry = self.deployment.entries[(attempt + hash(path)) % len(self.deployment.entries)]
            headers = {"Host": "nony24.example", "Content-Type": "application/json", "X-Agatenotch-Deadline-Ms": "3000"}
            answer = await call(entry.frontend, method, path, data, headers, 3.0)
            self.recorder.note(
                f"client: {method} {path} at {entry.name} ({len(data)} bytes): "
                f"{answer[0] if answer else 'no answer'} {answer[1][:80].decode(errors='replace') if answer else ''}"
            )
            if answer and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.5)
        return answer

    async def state(self, path):
        answer = await self.request("GET", path)
        if not answer or answer[0] != 200:
            return str(answer[0]) if answer else "no answer"
        return json.loads(answer[1]).get("state", "?")


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs a case: returns its exit status, 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    recorder = Recorder(os.path.join(folder, "record.txt"))
    recorder.note(f"trouble: {has_trouble()}")
    # Ends the processes that the case has started, also if it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(recorder), 115))
    except Unable as error:
        recorder.note(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except asyncio.TimeoutError:
        recorder.note("could not run: out of time")
        print("could not run: out of time")
        sys.exit(2)
    for line in broken:
        recorder.note(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not broken:
        recorder.note("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
