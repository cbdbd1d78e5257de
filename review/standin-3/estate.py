"""Stand-ins of the platform's store, its promotion call and one service of databases, on loopback.

They follow the users' pages: PROTOCOL.md for the wire, the databases, discovery and the store.
Everything runs in one asyncio loop; faults are switched by attributes and methods.
"""
import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit


def now():
    return time.monotonic()


class Store:
    """The platform's metadata store (objects by kind and name, one revision counter)."""

    def __init__(self, estate):
        self.estate = estate
        self.revision = 10
        self.objects = {}  # (kind, name) -> dict(meta, spec, status)
        self.history = []  # (revision, kind, object, removed)
        self.changed = asyncio.Event()
        self.mode = "up"  # up, silent, busy
        self.post_conflict_has_object = True
        # Called with (method, kind, name, body); returns seconds of delay, "lost" (done, not
        # answered), ("late", seconds) (not answered, done later), or None.
        self.fault = None

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, kind, obj, removed=False):
        self.history.append((obj["meta"]["Revision"] if not removed else self.revision, kind,
                             json.loads(json.dumps(obj)), removed))
        self._notify()

    def put(self, kind, name, spec, expected=None, create=False):
        key = (kind, name)
        known = self.objects.get(key)
        if create:
            if known:
                return 409, ({"Object": known} if self.post_conflict_has_object else {})
            self.revision += 1
            obj = {"meta": {"Name": name, "Revision": self.revision, "Created": 0,
                            "Finalizers": [], "Deleting": False}, "spec": spec, "status": None}
            self.objects[key] = obj
            self._record(kind, obj)
            return 201, obj
        if not known:
            return 404, {}
        if expected is not None and known["meta"]["Revision"] != expected:
            return 409, {"Object": known}
        if known["spec"] == spec:
            return 200, known
        self.revision += 1
        known["spec"] = spec
        known["meta"]["Revision"] = self.revision
        self._record(kind, known)
        return 200, known

    def write(self, kind, name, spec):
        """A write of the operator or of a database, without a condition."""
        if (kind, name) in self.objects:
            return self.put(kind, name, spec)
        return self.put(kind, name, spec, create=True)

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self._record(kind, known, removed=True)

    def listing(self, kind):
        items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
        return {"items": items, "HasMore": False, "StoreRevision": self.revision}

    async def watch(self, kind, after, wait):
        end = now() + wait
        while True:
            events = [{"Object": o, "Removed": r} for rev, k, o, r in self.history
                      if k == kind and rev > after]
            left = end - now()
            if events or left <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, headers, body):
        """Returns (status, object), or None where no answer is given."""
        url = urlsplit(target)
        query = parse_qs(url.query)
        if url.path == "/promotion":
            return self.estate.promotion(json.loads(body), headers)
        if not url.path.startswith("/-/objects/"):
            return 404, {}
        if self.mode == "silent":
            return None
        if self.mode == "busy":
            return 503, {}
        parts = [unquote(p) for p in url.path[len("/-/objects/"):].split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET":
            if "Watch" in query:
                answer = await self.watch(kind, int(query["Watch"][0]),
                                          int(query.get("WaitMs", ["0"])[0]) / 1000)
                return (200, answer) if self.mode == "up" else None
            if name is None:
                return 200, self.listing(kind)
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, {})
        sent = json.loads(body) if body else {}
        meta = sent.get("meta", {})
        name = name or meta.get("Name")
        fault = self.fault(method, kind, name, sent) if self.fault else None

        def act():
            if method == "POST":
                return self.put(kind, name, sent.get("spec"), create=True)
            if method == "PUT":
                return self.put(kind, name, sent.get("spec"), meta.get("Revision"))
            return 405, {}

        if isinstance(fault, tuple):
            asyncio.get_running_loop().call_later(fault[1], act)
            return None
        result = act()
        if fault == "lost":
            return None
        if fault:
            await asyncio.sleep(fault)
        return result

    async def serve(self, reader, writer):
        self.estate.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split()
                headers = {}
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    key, value = header.split(":", 1)
                    headers[key.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await reader.read()  # no answer; until the caller closes
                    break
                status, obj = answer
                text = json.dumps(obj).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.estate.writers.discard(writer)
            writer.close()


class Database:
    """One database of the service: a log of commits, sessions on the wire, and a heartbeat."""

    def __init__(self, estate, number, ident, zone, lag):
        self.estate = estate
        self.number = number
        self.id = ident
        self.zone = zone
        self.lag = lag  # seconds that it is behind its primary
        self.role = "replica"
        self.term = 1
        self.log = [(1, None, [], 0.0)]  # (term, id of the request, [(item, value)], when)
        self.leader = None
        self.paused = False
        self.held = 0
        self.running = False
        self.dark = False  # neither answers nor receives nor writes its entry; keeps its connections
        self.draining = False
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.beat_at = now()
        self.last_beat = 0.0
        self.server = None
        self.sessions = set()
        self.runs = 0
        self.work = 0.004

    @property
    def point(self):
        return (self.log[-1][0], len(self.log))

    def position(self):
        return "%d.%d" % self.point

    def holds(self, point):
        return point[1] <= len(self.log) and self.log[point[1] - 1][0] == point[0]

    def value(self, item):
        for _, _, writes, _ in reversed(self.log):
            for key, data in writes:
                if key == item:
                    return data
        return ""

    def entry(self):
        self.seq += 1
        return {"Service": self.estate.service, "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "ConfigVersion": "1", "Slots": 3,
                "State": "draining" if self.draining else "ready", "ColdRemainingMs": 0,
                "Seq": self.seq, "DbRole": self.role, "born": self.born}

    @property
    def port(self):
        return self.estate.database_port + self.number

    async def start(self):
        self.running = True
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def crash(self):
        self.running = False
        self.paused, self.held = False, 0
        self.server.close()
        for writer in list(self.sessions):
            writer.transport.abort()
        self.sessions.clear()

    async def restart(self):
        """Comes back with its log, as a replica if another database was promoted."""
        self.born = int(time.time() * 1000)
        if self.estate.primary is not self:
            self.follow(self.estate.primary)
        await self.start()

    def follow(self, leader):
        self.role = "replica"
        self.leader = leader
        self.term = leader.term
        common = 0
        for mine, theirs in zip(self.log, leader.log):
            if mine[:2] != theirs[:2]:
                break
            common += 1
        self.log = self.log[:common]

    def receive(self):
        leader = self.leader
        if not self.running or self.dark or self.paused or self.estate.is_deaf(self):
            return
        # One that did not hear of a promote follows the new primary as soon as it hears again.
        newest = self.estate.primary
        if self.role == "replica" and newest is not self and leader is not newest:
            self.follow(newest)
            leader = newest
        if not leader or not leader.running or leader.dark:
            return
        if self.role == "primary":
            return
        self.term = max(self.term, leader.term)
        limit = now() - self.lag
        while len(self.log) < len(leader.log) and leader.log[len(self.log)][3] <= limit:
            self.log.append(leader.log[len(self.log)])
        self.estate.received.set()

    async def commit(self, ident, writes):
        self.log.append((self.term, ident, writes, now()))
        at = len(self.log)
        entry = self.log[-1]
        self.estate.note("commit", database=self.id, id=ident, position=self.position())
        while self.estate.sync:
            if any(r is not self and r.leader is self and len(r.log) >= at and r.log[at - 1] is entry
                   for r in self.estate.databases):
                break
            if not self.running or len(self.log) < at or self.log[at - 1] is not entry:
                return False
            self.estate.received.clear()
            try:
                await asyncio.wait_for(self.estate.received.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        return True

    def status(self):
        return (f"{self.role} {self.term} {self.position()} {self.held} {int(self.lag * 1000)} 0 "
                f"{len(self.sessions)}")

    async def serve(self, reader, writer):
        self.sessions.add(writer)
        self.estate.writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.sessions.discard(writer)
            self.estate.writers.discard(writer)
            writer.close()


class Session:
    def __init__(self, database, reader, writer):
        self.db, self.reader, self.writer = database, reader, writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.first = None
        self.prepared = {}
        self.values = {}

    def ready(self):
        self.writer.write(f"READY {self.state} {self.db.position()}\r\n".encode())

    def complete(self, rows=(), signature="-"):
        for row in rows:
            self.writer.write(f"ROW {row}\r\n".encode())
        self.writer.write(f"COMPLETE {signature}\r\n".encode())
        self.ready()

    def error(self, code, text=""):
        self.writer.write(f"ERROR {code} {text or self.db.id}\r\n".encode())
        self.ready()

    def signature(self):
        self.db.runs += 1
        return f"{self.db.id}/{self.db.runs}"

    async def run(self):
        while True:
            line = await self.reader.readuntil(b"\r\n")
            while self.db.dark:
                await asyncio.sleep(0.02)
            words = line[:-2].decode().split(" ")
            if words[0] == "CONNECT":
                wrong = words[1] != self.db.estate.service or (len(words) > 3 and words[3] != self.db.id)
                if wrong:
                    self.writer.write(f"ERROR WRONGNODE {self.db.id}\r\n".encode())
                    return
                self.caller = words[2] if len(words) > 2 else ""
                await asyncio.sleep(0.002)
                self.ready()
            elif words[0] == "RELEASE":
                return
            else:
                await self.query(words[1], words[2:])
            await self.writer.drain()

    async def query(self, ident, words):
        db = self.db
        if words[0] == "AFTER":
            term, number = words[1].split(".")
            if not db.holds((int(term), int(number))):
                self.error("LAGGING")
                return
            words = words[2:]
        verb, rest = words[0], words[1:]
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if verb == "PAUSE" and db.role == "replica" and int(rest[0]) > db.term:
                db.paused, db.held = True, int(rest[0])
                db.estate.note("pause", database=db.id, term=int(rest[0]), position=db.position())
            if verb == "RESUME":
                db.paused, db.held = False, 0
            if verb == "DEMOTE" and db.role == "primary" and db.term < int(rest[0]):
                db.role = "replica"
                db.estate.note("demote", database=db.id, position=db.position())
                if db.estate.primary is not db:
                    db.follow(db.estate.primary)
            self.complete([db.status()])
            return
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            self.complete()
            return
        if self.state == "E":
            if verb == "COMMIT":
                self.state, self.writes = "I", []
                self.error("ABORTED")
            else:
                self.error("MALFORMED")
            return
        if verb == "BEGIN":
            self.read_only = rest == ["READ"]
            if not self.read_only and db.role != "primary":
                self.error("READONLY")
                return
            self.state, self.writes, self.lead = "T", [], db.term
            self.complete()
            return
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            self.complete()
            return
        if verb == "SET":
            self.values[rest[0]] = " ".join(rest[1:])
            self.complete()
            return
        if verb == "PREPARE":
            self.prepared[rest[0]] = (rest[1], " ".join(rest[2:]))
            self.complete()
            return
        if verb == "DEALLOC":
            self.prepared.pop(rest[0], None)
            self.complete()
            return
        await asyncio.sleep(db.work)
        if verb == "EXECUTE":
            if rest[0] not in self.prepared:
                self.error("NOSTMT")
                return
            verb, rest = self.prepared[rest[0]][0], rest[1:]
        lost_lead = self.state == "T" and not self.read_only and (
            db.role != "primary" or db.term != self.lead)
        if lost_lead and not (verb == "COMMIT" and not self.writes):
            self.state = "E" if verb != "COMMIT" else "I"
            self.writes = []
            self.error("READONLY")
            return
        if verb == "READ":
            db.estate.note("read", database=db.id, id=ident, caller=self.caller,
                           position=db.position())
            self.complete([db.value(rest[0])], self.signature())
        elif verb == "WRITE":
            db.estate.note("write", database=db.id, id=ident, caller=self.caller)
            if self.state == "T" and self.read_only or db.role != "primary":
                if self.state == "T":
                    self.state = "E"
                self.error("READONLY")
                return
            write = (rest[0], " ".join(rest[1:]))
            if self.state == "T":
                self.writes.append(write)
            elif not await db.commit(ident, [write]):
                return
            self.complete([], self.signature())
        elif verb == "COMMIT":
            writes, self.writes = self.writes, []
            self.state = "I"
            if writes and not await db.commit(ident, writes):
                return
            self.complete([], self.signature())
        else:
            self.error("MALFORMED")


class Estate:
    """The platform with one service of three databases."""

    def __init__(self, store_port, database_port, sync=0, promote_s=0.3, heartbeat_s=1.2,
                 lags=(0.0, 0.02, 0.06), record=None):
        self.service = "herdview-db"
        self.store_port, self.database_port = store_port, database_port
        self.sync, self.promote_s, self.heartbeat_s = sync, promote_s, heartbeat_s
        self.writers = set()
        self.received = asyncio.Event()
        self.store = Store(self)
        self.record = record
        self.deaf = set()
        self.config_version = 0
        self.tenants = None
        self.promotions = []  # (when it took effect, id, ids in its log)
        self.fences = []
        zones = ("andong", "yeongju", "sangju")
        self.databases = [Database(self, i, f"i-{i}a7f", zones[i], lags[i]) for i in range(3)]
        self.primary = self.databases[0]
        self.primary.role = "primary"
        for replica in self.databases[1:]:
            replica.leader = self.primary
        self.term = 1
        self.promoting = None

    def note(self, event, **fields):
        if self.record:
            self.record(event, **fields)

    def is_deaf(self, database):
        return database in self.deaf

    def find(self, ident):
        return next((d for d in self.databases if d.id == ident), None)

    def write_config(self, extra=0):
        self.config_version += 7
        def route(name, kind, timeout, target, priority, staleness=None):
            fields = {"Name": name, "DatabaseName": name, "Service": self.service,
                      "RouteType": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
                      "Priority": priority}
            if staleness:
                fields["MaxStalenessMs"] = staleness
            return fields

        # The routes and limits of gdwpa-herdview; its names are those of the kinds of request.
        routes = [route("session-log", "primary", 800, 150, 1),
                  route("stall-live", "bounded_staleness", 2000, 500, 2, 1500),
                  route("herd-report", "read_your_writes", 800, 250, 2, 2500)]
        routes += [route(f"extra{i}", "primary", 800, 150, 1) for i in range(extra)]
        spec = {"ConfigVersion": self.config_version, "Routes": routes,
                "Services": [{"Name": self.service, "MaxConnections": 23,
                              "SyncReplicas": self.sync}], "Limits": {"TxIdleMs": 3000}}
        if self.tenants is not None:
            spec["Tenants"] = self.tenants
        self.store.write("config", "main", spec)

    def promotion(self, body, headers):
        self.note("promotion", id=body["Id"], holder=headers.get("duty-holder"),
                  fence=headers.get("fencing-token"))
        self.fences.append((now(), headers.get("duty-holder"), int(headers.get("fencing-token", 0))))
        target = self.find(body["Id"])
        if not target:
            return 404, {}
        if not target.running:
            return 409, {}
        if target is not self.primary and target is not self.promoting:
            self.promoting = target
            asyncio.get_running_loop().call_later(self.promote_s, self.promote, target)
        return 200, {}

    def promote(self, target):
        self.promoting = None
        if not target.running:
            return
        previous, self.primary = self.primary, target
        self.term += 1
        target.role, target.term, target.leader = "primary", self.term, None
        target.paused, target.held = False, 0
        self.promotions.append((now(), target.id, {e[1] for e in target.log if e[1]}))
        self.note("promoted", id=target.id, term=self.term, position=target.position())
        for other in self.databases:
            if other is target or not other.running:
                continue
            other.paused, other.held = False, 0
            if other.role != "primary" and not self.is_deaf(other):
                other.follow(target)

        def replaced():
            if previous.running and self.primary is not previous and previous.role == "primary":
                previous.follow(self.primary)
        asyncio.get_running_loop().call_later(1.0, replaced)

    def store_returns(self, delays):
        """The store is up again; each database registers again after its delay in seconds."""
        self.store.mode = "up"
        for database, delay in zip(self.databases, delays):
            database.beat_at = now() + delay - self.heartbeat_s

    async def replicate(self):
        while True:
            for database in self.databases:
                database.receive()
            await asyncio.sleep(0.004)

    async def heartbeats(self):
        """Each database writes its entry every heartbeat; after three without one it is removed."""
        while True:
            for database in self.databases:
                due = now() - database.beat_at >= self.heartbeat_s
                role_changed = getattr(database, "told_role", None) != (database.role, database.draining)
                if database.running and not database.dark and (due or role_changed):
                    if due:
                        database.beat_at += self.heartbeat_s
                        if now() - database.beat_at > self.heartbeat_s:
                            database.beat_at = now()
                    if self.store.mode == "up":
                        database.told_role = (database.role, database.draining)
                        database.last_beat = now()
                        self.store.write("servers", database.id, database.entry())
                if now() - database.last_beat > 3 * self.heartbeat_s:
                    if ("servers", database.id) in self.store.objects:
                        self.note("entry-removed", id=database.id)
                        self.store.remove("servers", database.id)
            await asyncio.sleep(0.02)

    async def start(self):
        self.write_config()
        for database in self.databases:
            await database.start()
            database.last_beat = now()
            database.beat_at = now() - 0.4 * database.number
            self.store.write("servers", database.id, database.entry())
        self.http = await asyncio.start_server(self.store.serve, "127.0.0.1", self.store_port)
        self.tasks = [asyncio.create_task(self.replicate()), asyncio.create_task(self.heartbeats())]
