"""Stand-ins of the platform for the review's scripts, and the processes of a small deployment.

The store, the workers ("minions") and the clients follow PROTOCOL.md. Everything runs on loopback
addresses: each machine has an address of its own, with the same ports everywhere. Only the Python
standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site kehilla-seats (SYSTEM.md) in seconds.
HOLD_MAX = 6.0
STOP = 0.9
GRACE = 6
STATUS = 120
DRAIN = 2.5
FINISH = 14.0
VISIBLE = 3.0
CONTACT = 3.0
BEAT = 1.1
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
APPEND_S = 0.002
ANSWER_S = 0.004
PARTS = 12

SERVICE = "huvo11a"
HOST = "nony24.example"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads the head and the body of a request or a response. Returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(address, port, handler):
    """Serves HTTP/1.1. The handler returns a status and a body, or None for no answer at all."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                kind = b"application/octet-stream"
                if isinstance(content, (dict, list)):
                    kind, content = b"application/json", json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                    % (status, kind, len(content))
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port, limit=1 << 20)


async def request(address, port, method, path, body=None, host=None, limit=3.0):
    """Sends one request. Returns status and body, or (None, cause) without a complete answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port, limit=1 << 20)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host or address)
            head += "Content-Type: application/json\r\nConnection: close\r\n"
            head += "Content-Length: %d\r\n\r\n" % len(content)
            writer.write(head.encode() + content)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "the connection ended"
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except asyncio.TimeoutError:
        return None, "no answer"
    except OSError as error:
        return None, str(error)


# The store ----------------------------------------------------------------------------------------


class Partition:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.writers = {}
        self.lock = asyncio.Lock()

    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's metadata store: topics with partitions, keyed topics, fenced producers."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        # Partitions that answer nothing, and the event that ends that.
        self.silent = {}
        self.appended = asyncio.Event()

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, part, key, value):
        """Appends a record as another writer does."""
        self.store(self.partition(topic, part), [(key.encode(), value)])

    def orders_of(self, minion):
        """Returns the partition in which the system keeps the orders for a worker."""
        prefix = ("r/%s/" % minion).encode()
        for place, partition in self.partitions.items():
            if any(key.startswith(prefix) for key, _ in partition.records):
                return place
        return None

    def store(self, partition, records):
        for key, value in records:
            offset = partition.end()
            partition.records.append((key, value))
            if value:
                partition.newest[key] = (offset, value)
            else:
                partition.newest.pop(key, None)
        waiting, self.appended = self.appended, asyncio.Event()
        waiting.set()

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = {}
        for pair in text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = unquote(value)
        await asyncio.sleep(ANSWER_S)
        place = (query.get("topic", ""), query.get("part", "0"))
        while place in self.silent:
            await self.silent[place].wait()
        partition = self.partition(query.get("topic", ""), query.get("part", "0"))
        if path == "/log-append":
            return await self.append(partition, query, body)
        if path == "/log-read":
            return await self.read(partition, query)
        if path == "/log-newest":
            return self.newest(partition, query)
        return 404, {}

    async def append(self, partition, query, body):
        records, sizes = decode_records(body)
        if records is None:
            return 400, {}
        if any(size > RECORD_BYTES for size in sizes) or sum(sizes) > REQUEST_BYTES:
            self.record.line(
                "store: append to %s/%s refused: %d records of %d bytes in one call, at most %d"
                % (query["topic"], query["part"], len(sizes), sum(sizes), REQUEST_BYTES)
            )
            return 400, {}
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                refusal = check_writer(partition, query, records)
                if refusal is not None:
                    return refusal
            offset = partition.end()
            self.store(partition, records)
            answer = {"offset": offset, "end": partition.end()}
            if "producer" in query and records:
                writer = partition.writers[query["producer"]]
                writer["recent"].append((writer["sequence"], answer))
                writer["recent"] = writer["recent"][-5:]
            return 200, answer

    async def read(self, partition, query):
        start = int(query.get("from", "0"))
        limit = int(query.get("maxKb", "1024")) * 1024
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while partition.end() <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.appended.wait(), left)
            except asyncio.TimeoutError:
                break
        if start < partition.first:
            return 410, {"first": partition.first}
        page = struct.pack(">QQ", partition.end(), partition.first)
        for key, value in partition.records[start - partition.first :]:
            record = bytes([len(key)]) + key + value
            if len(page) > 16 and len(page) + len(record) > limit:
                break
            page += struct.pack(">I", len(record)) + record
        return 200, page

    def newest(self, partition, query):
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            offset, value = partition.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            item = {"key": key.decode("latin-1"), "offset": offset}
            item["value"] = base64.b64encode(value).decode()
            items.append(item)
        more = len(items) < len(keys)
        return 200, {"items": items, "hasMore": more, "end": partition.end()}


def unquote(text):
    raw, at = bytearray(), 0
    while at < len(text):
        if text[at] == "%" and at + 2 < len(text):
            raw.append(int(text[at + 1 : at + 3], 16))
            at += 3
        else:
            raw += text[at].encode()
            at += 1
    return raw.decode("latin-1")


def decode_records(body):
    records, sizes, at = [], [], 0
    while at < len(body):
        if at + 4 > len(body):
            return None, []
        (length,) = struct.unpack(">I", body[at : at + 4])
        record = body[at + 4 : at + 4 + length]
        if len(record) != length or not record:
            return None, []
        key = record[1 : 1 + record[0]]
        records.append((key, record[1 + record[0] :]))
        sizes.append(length)
        at += 4 + length
    return records, sizes


def check_writer(partition, query, records):
    epoch, sequence = int(query.get("epoch", "0")), int(query.get("sequence", "0"))
    writer = partition.writers.get(query["producer"])
    if writer is None or epoch > writer["epoch"]:
        partition.writers[query["producer"]] = {"epoch": epoch, "sequence": sequence, "recent": []}
        return None
    if epoch < writer["epoch"]:
        return 409, {"reason": "fenced"}
    for number, answer in writer["recent"]:
        if number == sequence:
            return 200, answer
    if not records:
        return None
    if sequence != writer["sequence"] + 1:
        return 409, {"reason": "seq", "sequence": writer["sequence"] + 1}
    writer["sequence"] = sequence
    return None


# Workers ------------------------------------------------------------------------------------------


class Run:
    def __init__(self, number, work, checkpoint, size):
        self.number = number
        self.work = work
        self.began = time.monotonic()
        self.checkpoint = checkpoint
        self.size = size


class Minion:
    """A sound worker: one life, with a lease, a room that it guards, and numbered ends."""

    def __init__(self, cluster, number, capacity):
        self.cluster = cluster
        self.record = cluster.record
        self.number = number
        self.id = "i-%08x" % random.getrandbits(32)
        self.machine = cluster.agent_ip(number)
        self.capacity = capacity
        self.sequence = 0
        self.beat_at = 0.0
        self.step = lambda minion: 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic()
        self.lease = 0.0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.highest = {}
        self.changed = asyncio.Event()
        # Seconds of work of a task, and the length of its checkpoint, by spec.
        self.work_of = lambda spec: 0.5
        self.checkpoint_of = lambda spec, task, seconds: ""
        self.demand_of = lambda task: (0, 0)
        self.acked = 0
        # Carries out calls and doesn't answer them.
        self.mute = False
        self.called = lambda target: None

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    def used(self):
        return [sum(run.size[at] for run in self.running.values()) for at in (0, 1)]

    def end(self, task, how, checkpoint=None):
        run = self.running.pop(task)
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append([self.ends, task, run.number, how, checkpoint or run.checkpoint])
        self.record.line("%s ends %s run %d %s" % (self.id, task, run.number, how))
        self.cluster.ends.append((time.monotonic(), self.id, task, run.number, how))
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.running and self.clock() > self.lease:
                self.record.line("%s: its lease has expired" % self.id)
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                run.checkpoint = run.make(now - run.began) or run.checkpoint
                if run.work is not None and now - run.began >= run.work:
                    self.end(task, "done")

    def extend(self, deadline):
        if deadline is not None:
            latest = self.clock() + HOLD_MAX * 1000
            self.lease = max(self.lease, min(deadline, latest))

    async def handle(self, method, target, headers, body):
        self.called(target)
        answer = await self.carry_out(method, target, headers, body)
        if self.mute and target != "/healthz":
            self.record.line("%s doesn't answer %s" % (self.id, target))
            return None
        return answer

    async def carry_out(self, method, target, headers, body):
        if target == "/healthz":
            return 200, {}
        if headers.get("x-agatenotch-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body or b"{}")
        if target == "/run-start":
            return self.start(call)
        if target == "/run-stop":
            self.stop(call["task"], call["runId"])
            return 200, {"clockMs": self.clock()}
        if target == "/hold":
            return await self.hold(call)
        if target == "/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def start(self, call):
        task, number, deadline = call["task"], call["runId"], call["deadlineMs"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clockMs": self.clock()}
        size = self.demand_of(task)
        used = self.used()
        reason = None
        if number <= self.highest.get(task, 0) or known is not None:
            reason = "old"
        elif self.clock() > deadline:
            reason = "late"
        elif used[0] + size[0] > self.capacity[0] or used[1] + size[1] > self.capacity[1]:
            reason = "room"
        if reason in (None, "old", "room"):
            self.extend(deadline)
        if reason is not None:
            self.record.line("%s rejects %s run %d: %s" % (self.id, task, number, reason))
            return 409, {"clockMs": self.clock(), "reason": reason}
        spec = call.get("spec", "")
        run = Run(number, self.work_of(spec), call.get("checkpoint", ""), size)
        run.make = lambda seconds: self.checkpoint_of(spec, task, seconds)
        self.running[task] = run
        self.cluster.starts.append((time.monotonic(), self.id, task, number, self.state))
        self.record.line(
            "%s starts %s run %d, checkpoint of %d bytes"
            % (self.id, task, number, len(run.checkpoint))
        )
        return 200, {"clockMs": self.clock()}

    def stop(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self.end(task, "stopped")

    async def hold(self, call):
        self.extend(call.get("deadlineMs"))
        self.acked = max(self.acked, call["lastSeen"])
        self.ended = [end for end in self.ended if end[0] > call["lastSeen"]]
        wait = min(call.get("waitMs", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [
            [task, run.number, run.checkpoint, self.percent(run), run.size[0]]
            for task, run in self.running.items()
        ]
        lists = {"clockMs": self.clock(), "born": self.born, "running": running}
        lists["finished"] = self.ended[:500]
        return 200, lists

    def percent(self, run):
        if run.work is None:
            return 100
        return min(99, int(100 * (time.monotonic() - run.began) / run.work))

    def heartbeat(self):
        self.sequence += self.step(self)
        return {
            "service": SERVICE,
            "address": "%s:%d" % (self.machine, self.cluster.app_port),
            "zone": "windhoek-north",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.capacity[0], "memMb": self.capacity[1], "gpu": 0},
            "labels": ["a", "r1-%d" % (self.number % 3)],
            "clockMs": self.clock(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        # The workers' heartbeats are spread over the interval.
        await asyncio.sleep(BEAT * self.number / len(self.cluster.minions))
        while True:
            await self.beat_once()
            await asyncio.sleep(BEAT)

    async def beat_once(self):
        self.beat_at = time.monotonic()
        body = self.heartbeat()
        path = "/instances/" + self.id
        status, _ = await request(
            self.machine, self.cluster.control_port, "PUT", path, body, limit=1.0
        )
        if body["state"] != "ready":
            self.record.line(
                "%s says %s, sequence %d: %s" % (self.id, body["state"], body["sequence"], status)
            )
        return status

    async def run(self):
        self.server = await serve(self.machine, self.cluster.app_port, self.handle)
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beat())]


# The deployment -----------------------------------------------------------------------------------


def free_ports(count):
    """Returns ports that nothing listens on."""
    found, held = [], []
    while len(found) < count:
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        held.append(probe)
        found.append(probe.getsockname()[1])
    for probe in held:
        probe.close()
    return found


class Cluster:
    """Entries, agents, workers and the store of a small deployment."""

    def __init__(self, folder, entries, agents, capacity, routes):
        self.record = Record(folder)
        self.net = random.randrange(1, 250)
        ports = free_ports(7)
        self.callers_port, self.ready_port, self.control_port = ports[:3]
        self.metrics_port, self.relay_port, self.app_port, self.store_port = ports[3:]
        self.store_ip = "127.77.%d.200" % self.net
        self.entries, self.agents = entries, agents
        self.starts, self.ends = [], []
        self.children = {}
        self.logs = tempfile.mkdtemp(prefix="agate-review-")
        self.store = Store(self.record)
        self.minions = [Minion(self, number, capacity) for number in range(agents)]
        self.routes = routes

    def entry_ip(self, number):
        return "127.77.%d.%d" % (self.net, 10 + number)

    def agent_ip(self, number):
        return "127.77.%d.%d" % (self.net, 30 + number)

    def command(self, role, number):
        """The command of the deploy file with the settings of a small deployment."""
        seeds = ",".join(
            "%s:%d" % (self.entry_ip(at), self.control_port) for at in range(self.entries)
        )
        entry = role == "entry"
        ip = self.entry_ip(number) if entry else self.agent_ip(number)
        values = {
            "nodeName": "%s-%d" % ("frontend" if entry else "side", number),
            "bindAddrs.frontend": "%s:%d" % (ip, self.callers_port),
            "bindAddrs.readiness": "%s:%d" % (ip, self.ready_port),
            "bindAddrs.controlPlane": "%s:%d" % (ip, self.control_port),
            "ip": ip,
            "internalPorts.0": str(self.metrics_port),
            "internalPorts.1": str(self.relay_port),
            "seeds": seeds,
            "platform.address": "%s:%d" % (self.store_ip, self.store_port),
            "platform.parts": str(PARTS),
            "bounds.holdMaxMs": str(int(HOLD_MAX * 1000)),
            "bounds.evacuateMs": "",
            "bounds.status_s": str(STATUS),
            "bounds.graceS": str(GRACE),
            "limits.cpuShare": "0.25",
        }
        text = deploy_command(role)
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, value)
        if "{{" in text:
            raise SystemExit("cannot fill in " + text)
        return text.split(" ")

    async def start(self, role, number):
        name = "%s-%d" % (role, number)
        log = open(os.path.join(self.logs, name + ".log"), "ab")
        command = self.command(role, number)
        command[0] = os.path.join(ROOT, command[0])
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "")}
        self.children[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, env=environment
        )
        log.close()

    async def kill(self, name, number=signal.SIGKILL):
        child = self.children[name]
        child.send_signal(number)
        await child.wait()
        self.record.line("%s ended by signal %d" % (name, number))

    async def begin(self):
        self.server = await serve(self.store_ip, self.store_port, self.store.handle)
        self.configure(1)
        for minion in self.minions:
            await minion.run()
        for number in range(self.entries):
            await self.start("entry", number)
        for number in range(self.agents):
            await self.start("agent", number)
        await self.wait_until_ready()

    def configure(self, version):
        routes = []
        for name, prefix in self.routes:
            route = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "unsafe"}
            route.update(timeoutMs=3000, targetLatencyMs=1000, priority=0, service=SERVICE)
            route.update(maxAttempts=2, stretchFactor=2.0)
            routes.append(route)
        service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1"}
        service.update(tls=False, rejectsOverload=True, standby=False)
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        limits.update(headerTimeoutMs=3000, idleTimeoutMs=15000)
        config = {"version": version, "routes": routes, "services": [service], "limits": limits}
        self.store.put("keyed.op", "0", "config", json.dumps(config).encode())

    async def wait_until_ready(self):
        until = time.monotonic() + 20
        for number in range(self.entries):
            while True:
                status, _ = await request(self.entry_ip(number), self.ready_port, "GET", "/readyz")
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise SystemExit(2)
                await asyncio.sleep(0.1)
        # The workers' first heartbeats and their reports.
        await asyncio.sleep(3)

    async def call(self, method, prefix, job="", body=None, entry=None):
        """A client's call to a node in rotation, at random unless it is named."""
        number = random.randrange(self.entries) if entry is None else entry
        path = prefix + job
        status, answer = await request(
            self.entry_ip(number), self.callers_port, method, path, body, host=HOST
        )
        shown = answer.decode("latin-1")[:100] if isinstance(answer, bytes) else answer
        self.record.line("client: %s %s at entry-%d: %s %s" % (method, path, number, status, shown))
        return status, answer

    async def submit(self, prefix, job, body, attempts=40):
        """Hands in a job as a client does: repeated until there is a final answer."""
        for _ in range(attempts):
            status, _ = await self.call("POST", prefix, job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, prefix, job):
        """Returns the state of a job, 410, or None without an answer."""
        for _ in range(8):
            status, answer = await self.call("GET", prefix, job)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return 410
            await asyncio.sleep(0.3)
        return None

    async def finish(self):
        """Ends all processes that were started."""
        for child in self.children.values():
            if child.returncode is None:
                child.kill()
                await child.wait()


def deploy_command(role):
    """Returns the command of a role as the deploy file has it."""
    inside = False
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("["):
                inside = line.strip() == "[roles.%s]" % role
            elif inside and line.startswith("run"):
                return line.partition("=")[2].strip().strip('"')
    raise SystemExit(2)


def job_id():
    return "%016x" % random.getrandbits(64)


def main(folder, body):
    """Runs a case: body(cluster factory) returns a list of broken promises."""

    async def run():
        clusters = []

        def make(**settings):
            clusters.append(Cluster(folder, **settings))
            return clusters[-1]

        # A signal ends the case, and the processes that it started with it.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(body(make), 112)
        finally:
            for cluster in clusters:
                await cluster.finish()
        for text in broken:
            clusters[0].record.line("BROKEN " + text)
            print("BROKEN " + text)
        for cluster in clusters:
            if os.environ.get("KEEP_LOGS"):
                print("logs in " + cluster.logs)
            else:
                for name in os.listdir(cluster.logs):
                    os.remove(os.path.join(cluster.logs, name))
                os.rmdir(cluster.logs)
        print("the rule was broken" if broken else "the rule held")
        # Exits at once: the end of the loop would wait for tasks that have missed their cancellation.
        sys.stdout.flush()
        os._exit(1 if broken else 0)

    code = 2
    try:
        asyncio.run(run())
    except (Exception, SystemExit, asyncio.CancelledError) as error:
        print("the case could not run: %r" % error)
    sys.stdout.flush()
    os._exit(code)
