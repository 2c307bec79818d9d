"""Stand-ins for the review's cases: state service, cloud, workers and users, and the controllers of
the real program as child processes. Everything listens on loopback and runs on the real clock.

The stand-ins follow PROTOCOL. A case injects disruptions through the hook of the state service and
through the methods of the stand-ins. All that was sent, answered and run goes to `record.txt`.
Needs Python 3.8 or later and nothing else.
"""

import http.client
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()
DISRUPT = os.environ.get("TROUBLE", "1") != "0"

# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    """Returns the seconds since the start of the case."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The lines of record.txt, ordered by time when they are written."""

    def __init__(self):
        self.lock = threading.Lock()
        self.lines = []

    def add(self, text, at=None):
        with self.lock:
            self.lines.append((now() if at is None else at, text))

    def write(self, path):
        with self.lock:
            lines = sorted(self.lines, key=lambda line: line[0])
        with open(path, "w", encoding="utf-8") as file:
            for at, text in lines:
                file.write(f"{at:8.3f} {text}\n")


RECORD = Record()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores connections that the other side closed."""


def serve(handle):
    """Serves requests on a free port of loopback. `handle(method, path, query, body)` returns the
    status and the JSON body, or None to send no answer. Returns the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            length = int(self.headers.get("content-length") or 0)
            raw = self.rfile.read(length) if length else b""
            url = urllib.parse.urlsplit(self.path)
            query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
            body = json.loads(raw) if raw else None
            reply = handle(self.command, url.path, query, body)
            if reply is None:
                self.close_connection = True
                return
            status, value = reply
            data = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, *args):
            pass

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def port_of(server):
    return server.server_address[1]


class Effect:
    """What the hook of the state service does to one request.

    refuse: answers 503 and does not carry the request out.
    after: called with the status and the answer once the request was carried out, before the answer
        is sent.
    lost: sends no answer to a request that was carried out.
    delay_s: sends the answer to a request that was carried out this much later.
    sent: called when the delay is over, as the answer is sent.
    """

    def __init__(self, refuse=False, after=None, lost=False, delay_s=0.0, sent=None):
        self.refuse, self.after, self.lost = refuse, after, lost
        self.delay_s, self.sent = delay_s, sent


class StateService:
    """PROTOCOL, "Controller nodes -> state service". Each controller has a port of its own, so that
    the service can refuse single controllers."""

    LOG_LENGTH = 10_000

    def __init__(self, rps, write_rps, value_kb, txn_ops, hook=None):
        self.cond = threading.Condition()
        self.keys = {}  # key -> (value, stamp, loan)
        self.revision = 0
        self.log = []  # (revision, event)
        self.compacted = 0
        self.loans = {}  # loan -> [life in seconds, end]
        self.last_loan = 0
        self.down_until = 0.0
        self.refused_until = {}
        self.limits = (rps, write_rps, value_kb, txn_ops)
        self.buckets = {"rps": [rps, 0.0, rps], "write": [write_rps, 0.0, write_rps]}
        self.hook = hook or (lambda controller, kind, info: None)
        self.stopped = False
        threading.Thread(target=self.expire_loans, daemon=True).start()

    def listen(self, controller):
        return serve(lambda m, p, q, b: self.request(controller, m, p, q, b))

    # Disruptions.

    def outage(self, for_s):
        """Refuses all controllers. Leases have their full time again after it."""
        with self.cond:
            self.down_until = max(self.down_until, now() + for_s)
            for loan in self.loans.values():
                loan[1] = self.down_until + loan[0]
        RECORD.add(f"TROUBLE state service down for {for_s} s")

    def refuse(self, controller, for_s):
        """Refuses one controller, whose leases run out."""
        with self.cond:
            self.refused_until[controller] = now() + for_s
        RECORD.add(f"TROUBLE state service refuses {controller} for {for_s} s")

    # Requests.

    def available(self, controller):
        at = now()
        return at >= self.down_until and at >= self.refused_until.get(controller, 0.0)

    def take(self, bucket, amount):
        rate, at, level = self.buckets[bucket]
        level = min(rate, level + (now() - at) * rate)
        granted = level >= amount
        self.buckets[bucket] = [rate, now(), level - amount if granted else level]
        return granted

    def request(self, controller, method, path, query, body):
        kind, info = self.classify(method, path, query, body)
        arrived = now()
        with self.cond:
            if not self.available(controller):
                RECORD.add(f"state {controller} {kind} {info['text']} -> 503")
                return 503, {"error": "trouble"}
            if not self.take("rps", 1):
                RECORD.add(f"state {controller} {kind} {info['text']} -> 429")
                return 429, {"error": "too many requests"}
        if kind == "watch":
            return self.watch(controller, query)
        effect = self.hook(controller, kind, info) or Effect()
        if effect.refuse:
            RECORD.add(f"TROUBLE state {controller} {kind} {info['text']} -> 503")
            return 503, {"error": "trouble"}
        with self.cond:
            revision = self.revision
            status, value = self.execute(kind, path, query, body)
            if self.revision != revision:
                self.cond.notify_all()
        if effect.after:
            effect.after(status, value)
        if effect.lost:
            RECORD.add(f"TROUBLE state {controller} {kind} {info['text']} -> {status}, answer lost",
                       arrived)
            time.sleep(15)
            return None
        if effect.delay_s:
            RECORD.add(f"TROUBLE state {controller} {kind} {info['text']}: carried out, answer "
                       f"held for {effect.delay_s} s", arrived)
            time.sleep(effect.delay_s)
        if effect.sent:
            effect.sent()
        text = f"state {controller} {kind} {info['text']} -> {status}"
        if kind == "grant" and status == 200:
            text += f" loan {value['loan']}"
        RECORD.add(text)
        return status, value

    def classify(self, method, path, query, body):
        info = {"path": path, "query": query, "body": body}
        if path == "/changes":
            kind, text = "watch", f"{query.get('starts')} after {query.get('after')}"
        elif path == "/txn":
            kind = "txn"
            text = ", ".join([f"put {c['put']}" if "put" in c else f"remove {c['remove']}"
                              for c in body.get("apply") or []]) or "(compares only)"
        elif path == "/grants":
            kind, text = "grant", str(body.get("lifeMs"))
        elif method == "DELETE":
            kind, text = "revoke", path
        elif path.endswith("/extend"):
            kind, text = "extend", path
        elif "starts" in query:
            kind, text = "list", query["starts"] + (
                f" after {query['after']}" if query.get("after") else "")
        else:
            kind, text = "get", path[len("/kv/"):]
        info["text"] = text
        return kind, info

    def execute(self, kind, path, query, body):
        missing = 404, {"impression": self.revision}
        if kind == "get":
            key = urllib.parse.unquote(path[len("/kv/"):])
            return (200, self.item(key)) if key in self.keys else missing
        if kind == "list":
            return self.list(query)
        if kind == "txn":
            return self.transact(body)
        if kind == "grant":
            life = body.get("lifeMs", 0)
            if not 100 <= life <= 600_000:
                return 400, {"error": "lifeMs"}
            self.last_loan += 1
            self.loans[self.last_loan] = [life / 1000.0, now() + life / 1000.0]
            return 200, {"loan": self.last_loan}
        loan = int(path.split("/")[2])
        if loan not in self.loans:
            return missing
        if kind == "extend":
            self.loans[loan][1] = now() + self.loans[loan][0]
        else:
            self.end_loan(loan)
        return 200, {}

    def item(self, key):
        value, stamp, loan = self.keys[key]
        return {"key": key, "v": value, "stamp": stamp, "loan": loan}

    def list(self, query):
        most = min(int(query.get("most", 1000)), 1000)
        after, starts = query.get("after", ""), query["starts"]
        found = sorted(k for k in self.keys if k.startswith(starts) and k > after)
        rows = [self.item(key) for key in found[:most]]
        return 200, {"rows": rows, "truncated": len(found) > most, "impression": self.revision}

    def transact(self, body):
        changes, conditions = body.get("apply") or [], body.get("if") or []
        _, _, value_kb, txn_ops = self.limits
        too_large = any(len(json.dumps(c.get("v"))) > value_kb * 1024 for c in changes)
        if too_large or len(changes) > txn_ops or len(conditions) > 4 * txn_ops:
            return 400, {"error": "beyond a limit"}
        if changes and not self.take("write", len(changes)):
            return 429, {"error": "too many changes"}
        if any(c.get("loan") is not None and c["loan"] not in self.loans for c in changes):
            return 400, {"error": "no such lease"}
        stamp_of = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [c["key"] for c in conditions if stamp_of(c["key"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "impression": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "put" in change:
                self.put(change["put"], change.get("v"), change.get("loan"))
            else:
                self.remove(change["remove"])
        return 200, {"impression": self.revision}

    def put(self, key, value, loan):
        self.keys[key] = (value, self.revision, loan)
        self.append({"put": key, "v": value, "stamp": self.revision})

    def remove(self, key):
        if self.keys.pop(key, None):
            self.append({"remove": key, "stamp": self.revision})

    def append(self, event):
        self.log.append((self.revision, event))
        if len(self.log) > self.LOG_LENGTH:
            self.compacted = self.log.pop(0)[0]

    def end_loan(self, loan):
        del self.loans[loan]
        attached = [key for key, (_, _, of) in self.keys.items() if of == loan]
        if attached:
            self.revision += 1
            for key in attached:
                self.remove(key)
                RECORD.add(f"state lease {loan} ended, {key} removed")
            self.cond.notify_all()

    def expire_loans(self):
        while not self.stopped:
            with self.cond:
                if now() >= self.down_until:
                    for loan in [n for n, (_, end) in self.loans.items() if now() >= end]:
                        self.end_loan(loan)
            time.sleep(0.01)

    def watch(self, controller, query):
        after, starts = int(query.get("after", 0)), query["starts"]
        until = now() + min(int(query.get("blockMs", 0)), 60_000) / 1000.0
        with self.cond:
            while True:
                if self.available(controller):
                    if after < self.compacted:
                        return 410, {"impression": self.revision}
                    news = [e for revision, e in self.log if revision > after
                            and (e.get("put") or e.get("remove")).startswith(starts)]
                    if news or now() >= until:
                        return 200, {"impression": self.revision, "news": news}
                    self.cond.wait(max(0.001, min(0.1, until - now())))
                else:
                    # During an outage, open watches stay open.
                    self.cond.wait(0.02)

    def value(self, key):
        with self.cond:
            return self.keys[key][0] if key in self.keys else None


class Cloud:
    """PROTOCOL, "Controller nodes -> cloud". All its machines are up at the start and it has no
    capacity for more."""

    def __init__(self, machine_type, list_lag_s):
        self.type, self.lag_s = machine_type, list_lag_s
        self.machines = {}
        self.lock = threading.Lock()

    def listen(self):
        return serve(self.request)

    def add(self, worker):
        self.machines[worker.name] = worker

    def request(self, method, path, query, body):
        if path == "/machine_types":
            return 200, {"formats": [self.type]}
        if path == "/rentals/release":
            for name in body["stacks"]:
                RECORD.add(f"cloud: release of {name}")
                if name in self.machines:
                    self.machines[name].end_machine()
            return 200, {}
        if method == "POST":
            return 503, {"error": "no capacity"}
        as_of = now() - random.uniform(0, self.lag_s)
        rows = [{"nameId": w.name, "endpoint": w.endpoint, "format": self.type["name"],
                 "room": w.zone, "remainders": False, "condition": "running",
                 "ageS": 100.0 + as_of}
                for w in sorted(self.machines.values(), key=lambda w: w.name)
                if (w.gone_at is None or w.gone_at > as_of) and w.name > query.get("after", "")]
        return 200, {"stacks": rows, "truncated": False}


class Jobs:
    """The descriptions that users upload for the workers, and the results that are kept."""

    def __init__(self):
        self.specs = {}  # name -> submission
        self.run_s = {}  # name -> run time of a task
        self.results = set()  # tasks that completed


class Attempt:
    def __init__(self, task, number):
        self.task, self.number = task, number
        self.condition, self.why = "fetching", None
        self.due = None  # end of the present condition


class Worker:
    """PROTOCOL, "Workers -> controller nodes": one machine with its worker. It also answers
    direct commands, whether or not it reaches a controller."""

    ANSWER_TIMEOUT_S = 4.0

    def __init__(self, name, zone, machine_type, jobs, controllers, report_s, lease_s, first=0):
        self.name, self.zone, self.type, self.jobs = name, zone, machine_type, jobs
        self.controllers = controllers  # [(name, port)]
        self.report_s, self.lease_s = report_s, lease_s
        self.endpoint = f"127.0.0.1:{port_of(serve(self.direct))}"
        self.target, self.connection = first, None
        self.session, self.number, self.token = 1, 0, 0
        self.lease_start = now()
        self.attempts = {}
        self.images = set()
        self.changed = False
        self.token_changed_at = -1e9
        self.muted_from, self.muted_until = 1e9, 0.0
        self.gone_at = None
        self.intervals = []  # [task, attempt, from, to]: the time in which a task was on the machine
        self.answers = []  # (sent, received, controller, token) of each accepted answer
        self.started_by = []  # (sent, received, controller, token, task) of each start command
        self.lock = threading.RLock()
        self.stopped = False

    def start(self):
        threading.Thread(target=self.run, daemon=True).start()
        threading.Thread(target=self.keep_time, daemon=True).start()

    # Disruptions.

    def mute(self, for_s):
        """The worker reaches no controller for some time."""
        with self.lock:
            self.muted_from, self.muted_until = now(), now() + for_s
        RECORD.add(f"TROUBLE {self.name} reaches no controller for {for_s} s")

    def is_muted(self, at=None):
        at = now() if at is None else at
        return self.muted_from <= at < self.muted_until

    def end_machine(self):
        with self.lock:
            if self.gone_at is None:
                self.gone_at = now()
                for attempt in self.attempts.values():
                    self.leave(attempt, self.gone_at, "machine gone")
                RECORD.add(f"{self.name} is gone")

    # Direct commands.

    def direct(self, method, path, query, body):
        with self.lock:
            self.advance(now())
            if self.gone_at is not None:
                return None
            status = 200
            if path == "/do":
                RECORD.add(f"{self.name} direct command {json.dumps(body)}")
                token, session = body.get("warrant"), body.get("tenure")
                if token is None or session is None:
                    return 400, {"error": "warrant or tenure"}
                if token < self.token or session != self.session:
                    status = 409
                else:
                    self.token = token
                    for order in body.get("orders") or []:
                        self.command(order, now())
            return status, self.report()

    # Tasks.

    def enter(self, attempt, at):
        attempt.condition = "running"
        self.intervals.append([attempt.task, attempt.number, at, None])
        RECORD.add(f"{self.name} task {attempt.task} attempt {attempt.number} is on the machine", at)

    def leave(self, attempt, at, why):
        for interval in self.intervals:
            if interval[:2] == [attempt.task, attempt.number] and interval[3] is None:
                interval[3] = at
                RECORD.add(f"{self.name} task {attempt.task} attempt {attempt.number} left the "
                           f"machine: {why}", at)

    def finish(self, attempt, at, why):
        self.leave(attempt, at, why)
        attempt.condition, attempt.why, attempt.due = "ended", why, None
        self.changed = True
        if why == "done":
            self.jobs.results.add(attempt.task)

    def advance(self, at):
        """Applies all that was due until a time, each at its own time."""
        with self.lock:
            if self.gone_at is not None:
                return
            while True:
                expiry = self.lease_start + self.lease_s
                due = min([a for a in self.attempts.values() if a.due is not None],
                          key=lambda a: a.due, default=None)
                if due is not None and due.due <= min(at, expiry):
                    self.step_task(due)
                    continue
                if at <= expiry:
                    return
                for attempt in self.attempts.values():
                    self.leave(attempt, expiry, "lease over")
                RECORD.add(f"{self.name} lease over, session {self.session + 1} begins", expiry)
                self.attempts.clear()
                self.session += 1
                self.lease_start = expiry
                self.changed = True

    def step_task(self, attempt):
        at, job = attempt.due, attempt.task.split("/")[0]
        self.changed = True
        if attempt.condition == "fetching":
            self.images.add(self.jobs.specs[job]["edition"])
            if attempt.task in self.jobs.results:
                return self.finish(attempt, at, "done")
            self.enter(attempt, at)
            attempt.due = at + self.jobs.run_s[job]
        else:
            self.finish(attempt, at, "done")

    def used(self, amount):
        """Returns what the tasks take of `vcpus` or `ramGb`; fetching tasks count."""
        with self.lock:
            return sum(self.jobs.specs[a.task.split("/")[0]][amount]
                       for a in self.attempts.values() if a.condition != "ended")

    def command(self, order, at):
        name, key = order["order"], (order["leaf"], order["printing"])
        attempt = self.attempts.get(key)
        if name == "forget":
            if attempt is not None and attempt.condition == "ended":
                del self.attempts[key]
        elif name == "kill":
            # The jobs of the cases have no checkpoints: every task exits at once.
            if attempt is not None and attempt.condition != "ended":
                self.finish(attempt, at, "stopped")
        elif name == "start" and attempt is None:
            attempt = self.attempts[key] = Attempt(*key)
            spec = self.jobs.specs.get(key[0].split("/")[0])
            others = [a for a in self.attempts.values() if a.task == key[0] and a is not attempt]
            if spec is None:
                self.finish(attempt, at, "unknown")
            elif any(a.condition != "ended" for a in others):
                self.finish(attempt, at, "in_use")
            elif any(self.used(amount) > self.type[amount] for amount in ("vcpus", "ramGb")):
                self.finish(attempt, at, "no_room")
            else:
                cached = spec["edition"] in self.images
                fetch_s = 0.0 if cached else spec["sizeGb"] / self.type["fetchGbPerS"]
                attempt.due = at + fetch_s
                self.changed = True

    # Reports.

    def report(self):
        self.number += 1
        leaves = []
        for attempt in self.attempts.values():
            leaf = {"leaf": attempt.task, "printing": attempt.number,
                    "condition": attempt.condition}
            if attempt.why:
                leaf["colophon"] = attempt.why
            leaves.append(leaf)
        return {"stack": self.name, "endpoint": self.endpoint, "format": self.type["name"],
                "room": self.zone, "remainders": False, "tenure": self.session,
                "folio": self.number, "warrant": self.token, "recallS": None, "leaves": leaves}

    def keep_time(self):
        while not self.stopped and self.gone_at is None:
            self.advance(now())
            time.sleep(0.01)

    def run(self):
        next_at, sent = now() + random.uniform(0, self.report_s), -1e9
        while not self.stopped and self.gone_at is None:
            at = now()
            if at < next_at and not (self.changed and at >= sent + 0.5 and next_at < at + 10):
                time.sleep(0.01)
                continue
            with self.lock:
                self.advance(at)
                body, session = self.report(), self.session
                self.changed = False
            sent, previous = at, self.target
            status, answer = self.exchange(body)
            received = now()
            with self.lock:
                self.advance(received)
                next_at = sent + self.report_s * random.uniform(0.75, 1.25)
                if status == 200:
                    self.apply(answer, sent, received, session)
                elif status == 421 and self.index_of(answer.get("steward")) not in (
                        None, self.target):
                    self.target = self.index_of(answer["steward"])
                    next_at = received + random.uniform(0.0, 0.5)
                else:
                    self.target = (self.target + 1) % len(self.controllers)
                    next_at = received + 1.0
                    self.changed = False
            if self.target != previous:
                self.close()

    def index_of(self, name):
        names = [controller for controller, _ in self.controllers]
        return names.index(name) if name in names else None

    def apply(self, answer, sent, received, session):
        token, controller = answer.get("warrant"), self.controllers[self.target][0]
        if session != self.session:
            RECORD.add(f"{self.name} dropped an answer to its earlier session")
            return
        if token is None or token < self.token:
            RECORD.add(f"{self.name} dropped an answer of {controller} with token {token}, has "
                       f"seen {self.token}")
            return
        if token > self.token and received > self.token_changed_at + self.lease_s / 2:
            self.token_changed_at, self.changed = received, True
        self.token = token
        self.lease_start = max(self.lease_start, sent)
        self.answers.append((sent, received, controller, token))
        for order in answer.get("orders") or []:
            if order["order"] == "start":
                self.started_by.append((sent, received, controller, token, order["leaf"]))
            self.command(order, received)

    def exchange(self, body):
        """Sends a report and returns the status and the answer; status 0 without an answer."""
        controller, port = self.controllers[self.target]
        leaves = " ".join(f"{leaf['leaf']}#{leaf['printing']}:{leaf['condition']}"
                          for leaf in body["leaves"])
        text = (f"{self.name} report to {controller}, session {body['tenure']} folio "
                f"{body['folio']} token {body['warrant']} [{leaves}]")
        sent = now()
        if self.is_muted(sent):
            time.sleep(0.02)
            RECORD.add(f"{text} -> not sent", sent)
            return 0, None
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    "127.0.0.1", port, timeout=self.ANSWER_TIMEOUT_S)
                self.connection.connect()
                self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection.request("POST", "/checkin", json.dumps(body),
                                    {"content-type": "application/json"})
            response = self.connection.getresponse()
            status, raw = response.status, response.read()
            answer = json.loads(raw) if raw else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            RECORD.add(f"{text} -> no answer ({type(error).__name__})", sent)
            return 0, None
        if self.is_muted() or now() > sent + self.ANSWER_TIMEOUT_S:
            self.close()
            RECORD.add(f"{text} -> answer not received", sent)
            return 0, None
        RECORD.add(f"{text} -> {status} {json.dumps(answer)}", sent)
        return status, answer

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Controllers:
    """Processes of the real program, started with the command of the deploy file."""

    def __init__(self):
        self.directory = None  # of the settings and the logs
        self.settings, self.processes, self.ports = {}, {}, {}
        self.lock, self.stopped = threading.Lock(), False
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
            lines = [line.split("=", 1) for line in file if "=" in line]
        values = {key.strip(): value.strip().strip('"') for key, value in lines}
        self.command = shlex.split(values["run"])
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")

    def add(self, name, text, port):
        path = os.path.join(self.directory, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.settings[name], self.ports[name] = path, port

    def start(self, name):
        log = open(os.path.join(self.directory, f"{name}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        with self.lock:
            if self.stopped:
                raise CannotRun("the case has ended")
            self.processes[name] = subprocess.Popen(
                self.command + [self.settings[name]], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL, stderr=log, env=environment)
        log.close()
        RECORD.add(f"controller {name} started, port {self.ports[name]}")

    def kill(self, name):
        with self.lock:
            process = self.processes.pop(name)
            process.kill()
            process.wait()
        RECORD.add(f"TROUBLE controller {name} killed")

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)
        RECORD.add(f"TROUBLE controller {name} got {signal.Signals(number).name}")

    def stop(self):
        with self.lock:
            self.stopped = True
            for process in self.processes.values():
                process.kill()
                process.wait()

    def log_lines(self):
        for name in self.settings:
            path = os.path.join(self.directory, f"{name}.log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as file:
                    for line in file:
                        yield f"{name}: {line.rstrip()}"


HELD_PORTS = []


def free_port():
    """Returns a free port and holds it for the controller: a socket is bound there that does not listen
    and lets another one bind that also reuses the address, as the controllers do. The port is below
    those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        try:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
            held = socket.socket()
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind(("127.0.0.1", port))
        except OSError:
            continue
        HELD_PORTS.append(held)
        return port


class Deployment:
    """A small deployment: three controllers in two zones, and machines that are up at the start."""

    TYPE = {"name": "folio-box", "vcpus": 16.0, "gpus": 0.0, "ramGb": 128.0, "localGb": 70.0,
            "fetchGbPerS": 0.8, "price": 1.49, "marketPrice": 1.49, "bootS": 20.0,
            "rooms": ["valley-room", "toowong-store"]}

    def __init__(self, zones, machines, hook=None, report_s=1.0, lease_s=10.0, cancel_s=30.0,
                 cpus_max=None):
        """`zones` has the zone of each controller, `machines` the zone of each machine. The team is
        guaranteed all machines, or its limit `cpus_max` if that is less."""
        self.controllers = Controllers()
        self.directory = tempfile.mkdtemp(prefix="basaltrail-review-")
        self.controllers.directory = self.directory
        self.cancel_s = cancel_s
        self.names = [f"stack-{i}" for i in range(len(zones))]
        self.zone_of = dict(zip(self.names, zones))
        self.state = StateService(120.0, 40.0, 16.0, 24, hook)
        self.cloud = Cloud(self.TYPE, 3.0)
        self.jobs = Jobs()
        cloud_port = port_of(self.cloud.listen())
        listen = {name: (free_port(), free_port()) for name in self.names}
        self.cpus_max = cpus_max or len(machines) * 32.0
        cpus = min(len(machines) * 16.0, self.cpus_max)
        for name in self.names:
            state_port = port_of(self.state.listen(name))
            self.controllers.add(name, self.settings(
                name, listen, cloud_port, state_port, cpus, report_s, lease_s), listen[name][0])
        targets = [(name, listen[name][0]) for name in self.names]
        self.workers = []
        for index, zone in enumerate(machines):
            # Half of the workers try the controllers in the reverse order.
            order = targets if index % 2 == 0 else targets[::-1]
            worker = Worker(f"m-{index + 1:06}", zone, self.TYPE, self.jobs, order, report_s,
                            lease_s, index % len(targets))
            self.workers.append(worker)
            self.cloud.add(worker)

    def settings(self, name, listen, cloud_port, state_port, cpus, report_s, lease_s):
        members = "".join(
            f'[[members]]\nnode_name = "{other}"\nzone = "{self.zone_of[other]}"\n'
            f'endpoint = "127.0.0.1:{listen[other][1]}"\n\n'
            for other in self.names if other != name)
        return f"""node_name = "{name}"
zone = "{self.zone_of[name]}"
listen = "127.0.0.1:{listen[name][0]}"
peer_listen = "127.0.0.1:{listen[name][1]}"

{members}[endpoints]
cloud = "127.0.0.1:{cloud_port}"
state = "127.0.0.1:{state_port}"

[params]
size = {len(self.names)}
zones = ["toowong-store", "valley-room"]
clock_error_ms = 25.0

[[params.teams]]
name = "buyers"
cpus = {cpus}
cpus_max = {self.cpus_max}
gpus = 0.0
gpus_max = 0.0

[[params.objectives]]
kind = "finished"
class = "estate-scans"
within_s = 250.0
share = 0.9

[params.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {self.cancel_s}

[params.state]
rps = 120.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24

[params.cloud]
rps = 5.0
list_lag_s = 3.0

[params.resources]
cpu = 0.096
mem_mb = 56.0
max_connections = 600
"""

    def start(self, names=None):
        for name in names or self.names:
            self.controllers.start(name)
        for worker in self.workers:
            worker.start()

    def call(self, controller, method, path, body=None, timeout_s=5.0):
        """Sends a user's request; returns the status and the answer, or 0 without an answer."""
        sent = now()
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.controllers.ports[controller], timeout=timeout_s)
            connection.request(method, path, json.dumps(body) if body else None)
            response = connection.getresponse()
            status, raw = response.status, response.read()
            connection.close()
            answer = json.loads(raw) if raw else {}
        except (OSError, http.client.HTTPException, ValueError):
            status, answer = 0, None
        if path != "/ready":
            RECORD.add(f"user {method} {path} at {controller}, sent at {sent:.3f} -> {status} "
                       f"{json.dumps(answer)}")
        return status, answer

    def wait_ready(self, names=None, timeout_s=20.0):
        until = now() + timeout_s
        for name in names or self.names:
            while self.call(name, "GET", "/ready", timeout_s=1.0)[0] != 200:
                if self.controllers.processes[name].poll() is not None:
                    raise CannotRun(f"{name} ended at its start")
                if now() > until:
                    raise CannotRun(f"{name} is not ready")
                time.sleep(0.1)

    def submit(self, controller, name, tasks, run_s, vcpus=2.0, kind="array",
               precedence="standard"):
        spec = {"nameId": name, "shelf": "estate-scans", "desk": "buyers", "binding": kind,
                "precedence": precedence, "leaves": tasks, "vcpus": vcpus, "gpus": 0.0,
                "ramGb": 9.4, "edition": "img-01", "sizeGb": 0.4, "formats": None, "room": None,
                "samePlace": False, "apart": False, "remainders": False, "reckonS": run_s,
                "bookmarkS": 0.0, "pressS": 0.0, "dueS": None}
        if kind == "daemon":
            spec["reckonS"] = 0.0
        self.jobs.specs[name], self.jobs.run_s[name] = spec, run_s
        until = now() + 30
        while True:
            status, _ = self.call(controller, "POST", "/api/jobs", spec)
            if status in (200, 201):
                return
            if now() > until:
                raise CannotRun(f"{name} was not accepted: {status}")
            time.sleep(1.0)

    def leader(self):
        """Returns the controller of the leader key, for the timing of disruptions."""
        record = self.state.value("c/leader")
        return record["node"] if record else None

    def running(self, task):
        """Returns the workers on which a task is now."""
        return [w for w in self.workers
                if any(i[0] == task and i[3] is None for i in list(w.intervals))]

    def stop(self):
        self.controllers.stop()
        self.state.stopped = True
        for worker in self.workers:
            worker.stopped = True
        for line in self.controllers.log_lines():
            if os.environ.get("KEEP_LOGS"):
                print(line)
        shutil.rmtree(self.directory, ignore_errors=True)

    def ran_twice(self):
        """Returns each start of a task on a machine while it was on another (PROTOCOL, Rules)."""
        intervals = [(w.name, *i) for w in self.workers for i in w.intervals]
        found = []
        for machine, task, attempt, begin, _ in intervals:
            for other, other_task, other_attempt, other_begin, other_end in intervals:
                end = now() if other_end is None else other_end
                if task == other_task and machine != other and other_begin < begin < end:
                    found.append(
                        f"ran_twice: {task} started on {machine} (attempt {attempt}) at "
                        f"{begin:.3f} while on {other} (attempt {other_attempt}) from "
                        f"{other_begin:.3f} to {end:.3f}")
        return found


def wait_for(condition, timeout_s, what):
    """Waits for a condition and returns its value; raises CannotRun if it does not come true."""
    until = now() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if now() > until:
            raise CannotRun(f"not seen within {timeout_s} s: {what}")
        time.sleep(0.01)


def main(case, directory):
    """Runs `case()`, which returns the broken rules as lines, and exits with its status. A case of
    over 115 seconds is ended."""
    result = {}
    deployments = []

    def run():
        try:
            result["broken"] = case(deployments.append)
        except CannotRun as error:
            result["not run"] = str(error)
        except Exception as error:  # a fault of the case itself
            result["not run"] = f"{type(error).__name__}: {error}"

    thread = threading.Thread(target=run, daemon=True)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: result.setdefault("not run", "terminated"))
    thread.start()
    while thread.is_alive() and not result and now() < 115:
        thread.join(0.1)
    for deployment in deployments:
        deployment.stop()
    if "broken" in result:
        status = BROKEN if result["broken"] else HELD
        summary = "; ".join(result["broken"]) or "the rule held"
    else:
        status, summary = NOT_RUN, "not run: " + result.get("not run", "took too long")
    RECORD.add(f"RESULT {status}: {summary}")
    RECORD.write(os.path.join(directory, "record.txt"))
    print(summary)
    sys.stdout.flush()
    os._exit(status)
