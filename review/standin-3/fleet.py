"""Starts VMs as the deploy file does, and speaks the wire protocol to them as a consumer."""
import asyncio
import os
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/bin/fescuestatementd"
ZONES = ("andong", "yeongju", "sangju")  # of gdwpa-herdview


def free_ports(count):
    """The first of `count` successive ports that are free on the addresses of a run."""
    start = 20000 + (os.getpid() * 37 + int(time.time() * 10)) % 9000
    for base in range(start, 32000, count):
        try:
            for port in range(base, base + count):
                for ip in ("127.0.0.1", "127.0.0.21", "127.0.0.22", "127.0.0.23"):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


class Fleet:
    def __init__(self, base, vms=3, relay_port=0, stderr=None):
        self.base = base
        self.vms = vms
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.processes = {}
        self.started = set()

    def ip(self, vm):
        return f"127.0.0.{20 + vm}"

    def settings(self, vm):
        """deploy/node.yaml, filled in with the figures of the site."""
        ip, base, zone = self.ip(vm), self.base, ZONES[(vm - 1) % len(ZONES)]
        fields = {"NodeName": f"front-{zone}-{vm}", "Zone": zone, "Ip": ip,
                  "ListenAddrs.Front": f"{ip}:{base + 20}",
                  "ListenAddrs.ReadinessAddr": f"{ip}:{base + 21}",
                  "InternalPorts.0": base + 23, "InternalPorts.1": base + 24,
                  "platform.Address": f"127.0.0.1:{base}", "CloudApi.Address": f"127.0.0.1:{base}",
                  "Bounds.DrainMs": 7000, "Bounds.GraceS": 6}
        if vm not in self.started:
            fields["Bootstrap"] = "true"
        self.started.add(vm)
        with open(os.path.join(ROOT, "deploy", "node.yaml"), encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{#([^}]*)\}\}\n(.*?)\{\{/\1\}\}\n",
                      lambda found: found[2] if found[1] in fields else "", text, flags=re.S)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda found: str(fields[found[1]]), text)
        text = text.replace(":9464", f":{base + 22}")  # a free port for the metrics
        path = os.path.join(self.folder, f"vm-{vm}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self, vm):
        log = open(os.path.join(self.folder, f"vm-{vm}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["FESCUESPRING_CONFIG"] = self.settings(vm)
        self.processes[vm] = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    def signal(self, vm, number):
        self.processes[vm].send_signal(number)

    async def kill(self, vm):
        try:
            self.processes[vm].kill()
        except ProcessLookupError:
            pass
        await self.processes[vm].wait()

    async def is_ready(self, vm):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip(vm), self.base + 21), 1)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=12):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self.is_ready(vm) for vm in range(1, self.vms + 1)]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self, keep=False):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if keep:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """One session. ask() returns (rows, result, state) or None where the connection broke."""

    def __init__(self, fleet, vm, name, key="consumer"):
        self.fleet, self.vm, self.name, self.key = fleet, vm, name, key
        self.reader = self.writer = None

    async def line(self, seconds):
        data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), seconds)
        return data[:-2].decode()

    async def connect(self):
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.fleet.ip(self.vm), self.fleet.base + 20), 2)
            self.writer.write(f"CONNECT {self.name} {self.key}\r\n".encode())
            return (await self.line(2)).startswith("READY")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False

    async def ask(self, ident, text, seconds=2.5):
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            rows, result = [], None
            while True:
                line = await self.line(seconds)
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "READY":
                    return rows, result, rest.split(" ")[0]
                else:
                    result = line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None
