"""Stand-ins for the cases of the second review: state service, cloud, workers, users and a proxy.

They follow PROTOCOL-basaltrail.md. Where it is silent, they behave like a sound server or client.
Only the standard library is used. Every address is on loopback.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
T0 = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - T0


class Record:
    """The record of what was sent, answered and run: a line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)

    def write(self, kind, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{now():9.3f} {kind} {text}\n")


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads the head and the body of a request or a response; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return lines[0], headers, body


async def serve_http(handler, port=0):
    """Serves `handler(method, path, query, body) -> (status, object)`; returns the server, port."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                data = json.loads(body) if body else None
                status, answer = await handler(method, path, query, data)
                if status is None:
                    return
                out = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n" % (status, len(out)) + out)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A persistent connection of a client to one address."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns the status, the headers and the decoded body. Raises if there is no response."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1 << 20)
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.writer.write(f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\n"
                          f"content-type: application/json\r\n"
                          f"content-length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        first, headers, answer = await read_message(self.reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            decoded = json.loads(answer) if answer else None
        except ValueError:
            decoded = None
        return status, headers, decoded


NO_RESPONSE = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, EOFError)


# ---------------------------------------------------------------- proxy

class Link:
    """A proxy in front of one port. While it is held, it forwards nothing in either direction and
    accepts no connection; what was sent meanwhile is delivered in order afterwards."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.port = None
        self.listener = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self.port

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    def refuse(self):
        """Resets all connections and refuses new ones until `accept_again`."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept_again(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)

    async def _serve(self, reader, writer):
        await self.open.wait()
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))
        self.writers -= {writer, up_writer}

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- state service

class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, now()

    def take(self, amount):
        at = now()
        self.level = min(self.rate, self.level + (at - self.at) * self.rate)
        self.at = at
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    KEPT_CHANGES = 10_000

    def __init__(self, rps, write_rps, value_kb, txn_ops, latency_s=0.004):
        self.keys = {}          # key -> (value, stamp, loan)
        self.revision = 0
        self.changes = []       # (revision, event)
        self.loans = {}         # loan -> [life_s, end]
        self.last_loan = 0
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops, self.latency_s = value_kb * 1024, txn_ops, latency_s
        self.changed = asyncio.Event()
        self.refused = set()    # names of controllers that get 503
        self.last_refused_end = {}

    async def listen(self, name):
        """Serves one controller on a port of its own."""

        async def handler(method, path, query, body):
            return await self.handle(name, method, path, query, body)

        return (await serve_http(handler))[1]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [loan for loan, (_, end) in self.loans.items() if now() > end + 0.01]
            for loan in ended:
                self.end_loan(loan)

    def end_loan(self, loan):
        del self.loans[loan]
        attached = [key for key, (_, _, of) in self.keys.items() if of == loan]
        if attached:
            self.revision += 1
            for key in attached:
                del self.keys[key]
                self.note({"remove": key, "stamp": self.revision})
            self.notify()

    def note(self, event):
        self.changes.append((self.revision, event))
        del self.changes[:-self.KEPT_CHANGES]

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, name, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if name in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/txn":
            return self.transact(body)
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.keys:
                return 404, {"impression": self.revision}
            value, stamp, loan = self.keys[key]
            return 200, {"key": key, "v": value, "stamp": stamp, "loan": loan}
        if path == "/grants":
            self.last_loan += 1
            life = body["lifeMs"] / 1000
            self.loans[self.last_loan] = [life, now() + life]
            return 200, {"loan": self.last_loan}
        match = re.fullmatch(r"/grants/(\d+)(/extend)?", path)
        if match:
            loan = int(match[1])
            if loan not in self.loans or now() > self.loans[loan][1]:
                return 404, {"error": "no such lease"}
            if match[2]:
                self.loans[loan][1] = now() + self.loans[loan][0]
            else:
                self.end_loan(loan)
            return 200, {"loan": loan}
        if path == "/changes":
            return await self.watch(name, query)
        return 400, {"error": "malformed"}

    def list(self, query):
        start, after = query["starts"], query.get("after", "")
        most = min(int(query.get("most", 1000)), 1000)
        keys = sorted(k for k in self.keys if k.startswith(start) and k > after)
        rows, size = [], 0
        for key in keys[:most]:
            value, stamp, loan = self.keys[key]
            size += len(json.dumps(value)) + len(key) + 60
            if rows and size > 500 * 1024:
                break
            rows.append({"key": key, "v": value, "stamp": stamp, "loan": loan})
        return 200, {"rows": rows, "truncated": len(rows) < len(keys), "impression": self.revision}

    def transact(self, body):
        conditions, changes = body.get("if") or [], body.get("apply") or []
        sizes = [len(json.dumps(c["v"], separators=(",", ":"))) for c in changes if "put" in c]
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops \
                or any(size > self.value_bytes for size in sizes) \
                or len(json.dumps(body, separators=(",", ":"))) > 65536:
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [c["key"] for c in conditions
                  if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["stamp"]]
        for change in changes:
            loan = change.get("loan")
            if loan is not None and (loan not in self.loans or now() > self.loans[loan][1]):
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "impression": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "put" in change:
                    loan = change.get("loan")
                    self.keys[change["put"]] = (change["v"], self.revision, loan)
                    self.note({"put": change["put"], "v": change["v"], "stamp": self.revision})
                elif self.keys.pop(change["remove"], None) is not None:
                    self.note({"remove": change["remove"], "stamp": self.revision})
            self.notify()
        return 200, {"impression": self.revision}

    async def watch(self, name, query):
        start, after = query.get("starts", ""), int(query["after"])
        end = now() + min(int(query.get("blockMs", 0)), 60_000) / 1000
        while True:
            if name not in self.refused:
                if self.changes and len(self.changes) == self.KEPT_CHANGES \
                        and self.changes[0][0] > after + 1:
                    return 410, {"error": "too old"}
                news = [event for revision, event in self.changes if revision > after
                        and (event.get("put") or event.get("remove")).startswith(start)]
                if news or now() >= end:
                    return 200, {"impression": self.revision, "news": news}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, min(0.2, end - now())))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud

class Cloud:
    """A cloud whose capacity is the machines that are up at the start, and `spare` more."""

    def __init__(self, record, machine_type, lag_s, rps, spare=0, on_release=None):
        self.record, self.type, self.lag_s = record, machine_type, lag_s
        self.calls = Bucket(rps)
        self.calls.rate, self.calls.level = rps, rps
        self.machines = {}     # name -> dict, in the order of creation
        self.granted = {}
        self.spare = spare
        self.snapshots = []
        self.on_release = on_release
        self.on_rent = None
        self.last = 0

    def add(self, zone, spot=False, format=None):
        self.last += 1
        name = f"m-{self.last:06d}"
        self.machines[name] = {"nameId": name, "endpoint": "127.0.0.1:9", "format":
                               format or self.type["name"], "room": zone, "remainders": spot,
                               "condition": "running", "at": now()}
        return name

    async def keep_snapshots(self):
        while True:
            listed = [dict(machine) for machine in self.machines.values()]
            self.snapshots.append((now(), listed))
            self.snapshots = [s for s in self.snapshots if s[0] > now() - 30]
            await asyncio.sleep(0.25)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        if not self.calls.take(1):
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"formats": [self.type]}
        if path == "/rentals" and method == "POST":
            requisition = body["requisition"]
            if requisition not in self.granted:
                number = min(body["number"], self.spare)
                if number == 0:
                    return 503, {"error": "no capacity"}
                self.spare -= number
                names = [self.add(body["room"], body["remainders"], body["format"])
                         for _ in range(number)]
                for name in names:
                    self.machines[name]["condition"] = "starting"
                    if self.on_rent:
                        self.on_rent(name)
                self.granted[requisition] = names
            self.record.write("rented", requisition=requisition, stacks=self.granted[requisition])
            return 200, {"stacks": self.granted[requisition]}
        if path == "/rentals/release":
            names = [name for name in body["stacks"] if name in self.machines]
            self.record.write("released", stacks=names)
            for name in names:
                del self.machines[name]
                if self.on_release:
                    self.on_release(name)
            return 200, {}
        if path == "/rentals":
            at = now() - self.lag_s
            seen = [s for s in self.snapshots if s[0] <= at] or self.snapshots[:1]
            listed = [m for m in (seen[-1][1] if seen else []) if m["nameId"] >
                      query.get("after", "")]
            most = min(int(query.get("most", 500)), 500)
            rows = [{**m, "ageS": max(0.0, at - m["at"])} for m in listed[:most]]
            for row in rows:
                del row["at"]
            return 200, {"stacks": rows, "truncated": len(listed) > most}
        return 400, {"error": "malformed"}


# ---------------------------------------------------------------- workers

class Worker:
    """The worker of one machine (PROTOCOL, Workers -> controller nodes)."""

    def __init__(self, case, name, machine, cpus, ram_gb):
        self.case, self.name, self.cpus, self.ram = case, name, cpus, ram_gb
        self.zone, self.format, self.spot = (machine[k] for k in ("room", "format", "remainders"))
        self.tenure, self.folio, self.warrant = 1, 0, 0
        self.lease_from = now()
        self.tasks = {}            # (leaf, printing) -> dict
        self.node = random.randrange(len(case.nodes))
        self.wake = asyncio.Event()
        self.gone = False
        self.reports = 0
        self.leases_lost = 0

    def leaves(self):
        rows = []
        for (leaf, printing), task in self.tasks.items():
            row = {"leaf": leaf, "printing": printing, "condition": task["state"]}
            if task["state"] == "ended":
                row["colophon"] = task["why"]
            rows.append(row)
        return rows

    def advance(self):
        """Applies what is due: ends of tasks and of the lease, each at its own time."""
        lease_end = self.lease_from + self.case.lease_s
        for (leaf, printing), task in self.tasks.items():
            while task["state"] in ("fetching", "running") and task["due"] <= min(now(), lease_end):
                if task["state"] == "fetching":
                    task["state"], task["due"] = "running", task["due"] + task["run_s"]
                    self.case.on_start(self, leaf, printing)
                else:
                    task["state"], task["why"] = "ended", "done"
                    self.case.on_end(self, leaf, printing, "done")
                self.wake.set()
        if now() > lease_end:
            for (leaf, printing), task in self.tasks.items():
                if task["state"] == "running":
                    self.case.on_end(self, leaf, printing, "lease")
            self.case.record.write("lease_lost", stack=self.name, tenure=self.tenure,
                                   tasks=len(self.tasks))
            self.leases_lost += 1
            self.tasks = {}
            self.tenure += 1
            self.lease_from = lease_end
            self.wake.set()

    def start(self, leaf, printing):
        if (leaf, printing) in self.tasks:
            return
        job = self.case.jobs.get(leaf.split("/")[0])
        live = [(l, t) for (l, _), t in self.tasks.items() if t["state"] != "ended"]
        task = {"state": "ended", "why": "unknown", "due": 0, "job": job}
        if job is not None:
            used = sum(t["job"]["vcpus"] for _, t in live)
            ram = sum(t["job"]["ramGb"] for _, t in live)
            if any(l == leaf for l, _ in live):
                task["why"] = "in_use"
            elif used + job["vcpus"] > self.cpus + 1e-6 or ram + job["ramGb"] > self.ram + 1e-6:
                task["why"] = "no_room"
            elif leaf in self.case.done:
                task.update(state="fetching", due=now() + 0.05, run_s=0.0)
            else:
                task.update(state="fetching", due=now() + 0.1, run_s=self.case.run_s(leaf))
        self.tasks[(leaf, printing)] = task
        self.wake.set()

    def kill(self, leaf, printing):
        task = self.tasks.get((leaf, printing))
        if task and task["state"] != "ended":
            if task["state"] == "running":
                self.case.on_end(self, leaf, printing, "stopped")
            task["state"], task["why"] = "ended", "stopped"
            self.wake.set()

    def execute(self, order):
        leaf, printing = order["leaf"], order["printing"]
        if order["order"] == "start":
            self.start(leaf, printing)
        elif order["order"] == "kill":
            self.kill(leaf, printing)
        elif order["order"] == "forget":
            if self.tasks.get((leaf, printing), {}).get("state") == "ended":
                del self.tasks[(leaf, printing)]

    async def ticks(self):
        while not self.gone:
            self.advance()
            await asyncio.sleep(0.02)

    async def run(self):
        asyncio.create_task(self.ticks())
        connection = Connection(self.case.worker_port(self.node))
        while not self.gone:
            sent = now()
            self.wake.clear()
            self.advance()
            self.folio += 1
            tenure = self.tenure
            body = {"stack": self.name, "endpoint": "127.0.0.1:9",
                    "format": self.format, "room": self.zone,
                    "remainders": self.spot, "tenure": tenure, "folio": self.folio,
                    "warrant": self.warrant, "recallS": None, "leaves": self.leaves()}
            size = len(json.dumps(body, separators=(",", ":")))
            try:
                status, _, answer = await connection.request("POST", "/checkin", body, 4.0)
            except NO_RESPONSE:
                status, answer = None, None
            if self.gone:
                break
            self.case.on_report(self, self.node, sent, size, status, answer)
            self.advance()
            next_node, pause = self.node, None
            if status == 200:
                if answer.get("warrant", -1) >= self.warrant and tenure == self.tenure:
                    raised = answer["warrant"] > self.warrant
                    self.warrant = answer["warrant"]
                    self.lease_from = max(self.lease_from, sent)
                    for order in answer.get("orders", []):
                        self.case.on_order(self, self.node, sent, order)
                        self.execute(order)
                    if raised:
                        self.wake.set()
                pause = self.case.report_s * random.uniform(0.75, 1.25)
            elif status == 421 and answer and answer.get("steward") in self.case.nodes \
                    and self.case.nodes.index(answer["steward"]) != self.node:
                next_node = self.case.nodes.index(answer["steward"])
                await asyncio.sleep(random.uniform(0.0, 0.5))
            else:
                next_node = (self.node + 1) % len(self.case.nodes)
                await asyncio.sleep(1.0)
            if next_node != self.node:
                connection.close()
                self.node = next_node
                connection = Connection(self.case.worker_port(self.node))
            if pause is not None:
                try:
                    await asyncio.wait_for(self.wake.wait(), pause)
                    await asyncio.sleep(max(0.0, sent + 0.5 - now()))
                except asyncio.TimeoutError:
                    pass
        connection.close()


# ---------------------------------------------------------------- a case

def free_port(taken=set()):
    """A free port below the range from which the system takes ports for connections."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Case:
    """A deployment: controllers of the project as processes, and the stand-ins above."""

    machine_type = {"name": "folio-box", "vcpus": 16, "gpus": 0, "ramGb": 128, "localGb": 70,
                    "fetchGbPerS": 0.8, "price": 1.49, "marketPrice": 0.47, "bootS": 20,
                    "rooms": ["valley-room", "toowong-store"]}
    zones = ["valley-room", "toowong-store", "valley-room"]
    lease_s, report_s, cancel_s = 10.0, 1.0, 30.0
    rps, write_rps, value_kb, txn_ops = 120.0, 40.0, 16.0, 24
    cloud_rps, lag_s = 5.0, 3.0
    teams = [("cataloguers", 224.0, 664.0), ("buyers", 264.0, 664.0)]
    link_class = Link

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.nodes = [f"stack-{i}" for i in range(3)]
        self.jobs, self.done, self.running = {}, set(), {}
        self.processes, self.workers, self.state_links, self.cloud_links = [], {}, [], []
        self.worker_links, self.peer_links = [], []
        self.listen, self.peer = [], []
        self.temporary = tempfile.TemporaryDirectory(prefix="basaltrail-review-")
        self.record.write("case", trouble=self.trouble)

    # What a case may replace.
    def run_s(self, leaf):
        return 5.0

    def on_order(self, worker, node, sent, order):
        self.record.write("order", stack=worker.name, node=self.nodes[node], reported=round(sent, 3),
                          order=order["order"], leaf=order["leaf"], printing=order["printing"])

    def on_report(self, worker, node, sent, size, status, answer):
        pass

    def on_start(self, worker, leaf, printing):
        self.running.setdefault(leaf, set()).add(worker.name)
        self.record.write("started", stack=worker.name, leaf=leaf, printing=printing)

    def on_end(self, worker, leaf, printing, why):
        self.running.get(leaf, set()).discard(worker.name)
        if why == "done":
            self.done.add(leaf)
        self.record.write("ended", stack=worker.name, leaf=leaf, printing=printing, why=why)

    def worker_port(self, node):
        return self.listen[node]

    def serve_cloud(self, cloud):
        return cloud.handle

    # The deployment.
    def settings(self, index, state_port, cloud_port):
        lines = [f'node_name = "{self.nodes[index]}"', f'zone = "{self.zones[index]}"',
                 f'listen = "127.0.0.1:{self.listen[index]}"',
                 f'peer_listen = "127.0.0.1:{self.peer[index]}"']
        for other in range(len(self.nodes)):
            if other != index:
                lines += ["[[members]]", f'node_name = "{self.nodes[other]}"',
                          f'zone = "{self.zones[other]}"',
                          f'endpoint = "127.0.0.1:{self.peer_links[other].port}"']
        lines += ["[endpoints]", f'cloud = "127.0.0.1:{cloud_port}"',
                  f'state = "127.0.0.1:{state_port}"', "[params]", f"size = {len(self.nodes)}",
                  f"zones = {json.dumps(sorted(set(self.zones)))}", "clock_error_ms = 25.0"]
        for name, cpus, cpus_max in self.teams:
            lines += ["[[params.teams]]", f'name = "{name}"', f"cpus = {cpus}",
                      f"cpus_max = {cpus_max}", "gpus = 0.0", "gpus_max = 0.0"]
        lines += ["[[params.objectives]]", 'kind = "finished"', 'class = "estate-scans"',
                  "within_s = 250.0", "share = 0.9", "[params.workers]",
                  f"report_s = {self.report_s}", f"lease_s = {self.lease_s}",
                  "gang_wait_s = 35.0", "gang_peer_s = 4.0", f"cancel_s = {self.cancel_s}",
                  "[params.state]", f"rps = {self.rps}", f"write_rps = {self.write_rps}",
                  f"value_kb = {self.value_kb}", f"txn_ops = {self.txn_ops}", "[params.cloud]",
                  f"rps = {self.cloud_rps}", f"list_lag_s = {self.lag_s}", "[params.resources]",
                  "cpu = 0.096", "mem_mb = 56.0", "max_connections = 600"]
        return "\n".join(lines) + "\n"

    def run_command(self):
        """The run command of the deploy file."""
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
            return re.search(r'^run = "(.*)"', file.read(), re.M)[1].split()

    def start_controller(self, index):
        path = os.path.join(self.temporary.name, f"{self.nodes[index]}.toml")
        log = open(os.path.join(self.temporary.name, f"{self.nodes[index]}.log"), "ab")
        process = subprocess.Popen(self.run_command() + [path], cwd=ROOT, stderr=log,
                                   stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
                                   env={**os.environ, "LOG_LEVEL": "info"})
        log.close()
        self.processes[index] = process
        self.record.write("controller_started", node=self.nodes[index])

    def log_of(self, index):
        with open(os.path.join(self.temporary.name, f"{self.nodes[index]}.log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def end_controllers(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    async def start(self, machines, spare=0):
        self.state = StateService(self.rps, self.write_rps, self.value_kb, self.txn_ops)
        self.cloud = Cloud(self.record, self.machine_type, self.lag_s, self.cloud_rps, spare,
                           self.release_machine)
        self.cloud.on_rent = self.rent_machine
        asyncio.create_task(self.state.expire())
        asyncio.create_task(self.cloud.keep_snapshots())
        _, cloud_port = await serve_http(self.serve_cloud(self.cloud))
        self.listen = [free_port() for _ in self.nodes]
        self.peer = [free_port() for _ in self.nodes]
        self.processes = [None] * len(self.nodes)
        for port in self.peer:
            self.peer_links.append(Link(port))
            await self.peer_links[-1].start()
        for index, name in enumerate(self.nodes):
            link = Link(await self.state.listen(name))
            cloud_link = self.link_class(cloud_port)
            worker_link = Link(self.listen[index])
            await worker_link.start()
            self.worker_links.append(worker_link)
            self.state_links.append(link)
            self.cloud_links.append(cloud_link)
            text = self.settings(index, await link.start(), await cloud_link.start())
            with open(os.path.join(self.temporary.name, f"{name}.toml"), "w") as file:
                file.write(text)
        for index in range(len(self.nodes)):
            self.start_controller(index)
        for zone in machines:
            self.add_worker(self.cloud.add(zone))
        end = now() + 25
        ready = 0
        while ready < len(self.nodes):
            if now() > end:
                raise Unable("the controllers did not become ready")
            await asyncio.sleep(0.2)
            ready = 0
            for port in self.listen:
                try:
                    status, _, _ = await Connection(port).request("GET", "/ready", timeout=1.0)
                except NO_RESPONSE:
                    status = None
                ready += status == 200
        self.record.write("ready")

    def add_worker(self, name):
        machine = self.cloud.machines[name]
        worker = Worker(self, name, machine, self.machine_type["vcpus"], self.machine_type["ramGb"])
        self.workers[name] = worker
        asyncio.create_task(worker.run())

    def rent_machine(self, name):
        async def boot():
            await asyncio.sleep(self.machine_type["bootS"])
            if name in self.cloud.machines:
                self.cloud.machines[name]["condition"] = "running"
                self.add_worker(name)
        asyncio.create_task(boot())

    def release_machine(self, name):
        worker = self.workers.get(name)
        if worker is not None:
            for (leaf, printing), task in worker.tasks.items():
                if task["state"] == "running":
                    self.on_end(worker, leaf, printing, "machine_released")
            worker.tasks = {}
            worker.gone = True

    # Users.
    async def ask(self, node, method, path, body=None, timeout=5.0):
        """One request of a user on a connection of its own; the status is None without a response."""
        sent = now()
        connection = Connection(self.listen[node])
        try:
            status, _, answer = await connection.request(method, path, body, timeout)
        except NO_RESPONSE:
            status, answer = None, None
        connection.close()
        self.record.write("asked", node=self.nodes[node], method=method, path=path,
                          sent=round(sent, 3), status=status, answer=answer)
        return status, answer

    def job(self, name, **fields):
        job = {"nameId": name, "shelf": "estate-scans", "desk": "cataloguers", "binding": "array",
               "precedence": "standard", "leaves": 1, "vcpus": 2.0, "gpus": 0.0, "ramGb": 9.4,
               "edition": "img-07", "sizeGb": 1.2, "formats": None, "room": None,
               "samePlace": False, "apart": False, "remainders": True, "reckonS": 50.0,
               "bookmarkS": 0.0, "pressS": 0.0, "dueS": None}
        job.update(fields)
        return job

    async def submit(self, job, node=0):
        """Submits a job, and repeats the submission for up to 60 s as a user does."""
        self.jobs[job["nameId"]] = job
        end = now() + 60
        while now() < end:
            status, _ = await self.ask(node, "POST", "/api/jobs", job)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            node = (node + 1) % len(self.nodes)
            await asyncio.sleep(1.0)
        return False

    async def leader(self, timeout=20.0):
        """The index of the controller that answers the workers with 200."""
        end = now() + timeout
        while now() < end:
            value = self.state.keys.get("c/leader")
            recent = [w.node for w in self.workers.values() if w.warrant > 0]
            if value and recent and len(set(recent)) == 1 \
                    and value[0].get("node") == self.nodes[recent[0]]:
                return recent[0]
            await asyncio.sleep(0.1)
        raise Unable("no leader that all workers report to")


class Unable(Exception):
    """The case could not run."""


def main(case_class):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case = case_class(os.path.dirname(os.path.abspath(sys.argv[0])))
    # A run that is ended early ends its controllers, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        return await asyncio.wait_for(case.run(), 114.0)

    status = 2
    try:
        program = os.path.join(ROOT, case.run_command()[0])
        if not os.path.exists(program):
            raise Unable(f"{program}: not built")
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        # The loop is not closed: the process ends below, and with it everything that still runs.
        status = 1 if loop.run_until_complete(run()) else 0
    except Exception as error:  # also a fault of the script: only a broken rule gives 1
        case.record.write("could_not_run", reason=repr(error))
        print("could not run:", repr(error))
    finally:
        case.end_controllers()
        case.record.write("exit", status=status)
        case.temporary.cleanup()
    sys.stdout.flush()
    os._exit(status)
