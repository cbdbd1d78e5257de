"""A group whose first primary is lost for good, before any change of primary, has no primary any
more after a restart of all VMs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from case import BROKEN, HELD, TROUBLE, CannotRun, Load, Record, run  # noqa: E402
from estate import Estate, now  # noqa: E402
from fleet import Fleet, free_ports  # noqa: E402

RECOVERY_S = 12.0  # RecoveryS
JUDGED_S = 15.0
DOWN_S = 1.6


async def quiet_hour(load, seconds):
    """Light traffic: every 2 s, each session asks once."""
    end = now() + seconds
    while now() < end:
        load.gate.set()
        await asyncio.sleep(0.3)
        load.gate.clear()
        await asyncio.sleep(1.7)


async def disrupt(estate, fleet, load, record):
    """The primary is lost for good between two rounds of requests, shortly before its next
    heartbeat. 1.1 s later the store acknowledges a manifest, and all processes are killed right
    after that. They start again 1.6 s later."""
    primary = estate.primary
    before = primary.last_beat
    while primary.last_beat == before:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.7)
    load.gate.set()
    await asyncio.sleep(0.3)
    load.gate.clear()
    await asyncio.sleep(0.12)
    record("primary-lost", id=primary.id)
    await primary.crash()
    await asyncio.sleep(1.1)
    estate.write_config(extra=1)
    record("manifest-acknowledged", version=estate.config_version)
    await asyncio.gather(*(fleet.kill(vm) for vm in (1, 2, 3)))
    record("all-killed", promotions=len(estate.promotions))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(fleet.start(vm) for vm in (1, 2, 3)))
    record("all-started", entries=sorted(name for kind, name in estate.store.objects
                                         if kind == "servers"))


async def main():
    record = Record()
    base = free_ports(40)
    estate = Estate(base, base + 10, record=record)
    fleet = Fleet(base)
    try:
        await estate.start()
        for vm in (1, 2, 3):
            await fleet.start(vm)
        if not await fleet.wait_ready():
            raise CannotRun("the VMs are not ready")
        load = Load(fleet, record)
        load.gate = asyncio.Event()
        began = now()
        for vm in (1, 2, 3):
            load.add(vm, "session-log", "WRITE item v#", 0.35)
            load.add(vm, "stall-live", "READ item", 0.35)
            load.add(vm, "herd-report", "READ item", 0.35)
        await quiet_hour(load, 10)
        served, asked = load.share_served(began, now())
        record.say(f"before: {served} of {asked} requests served")
        if served * 4 < asked * 3:
            raise CannotRun("the system did not serve before the disruption")
        if TROUBLE:
            await disrupt(estate, fleet, load, record)
        await quiet_hour(load, RECOVERY_S)
        judged = now()
        await quiet_hour(load, JUDGED_S)
        end = now()
        load.stopped = True
        load.gate.set()
        await load.stop()
        served, asked = load.share_served(judged, end)
        broken = asked == 0 or served * 4 < asked
        record.say(f"sent later than {RECOVERY_S:g} s after the machines were back: {served} of"
                   f" {asked} requests served; RECOVER {'broken' if broken else 'held'}")
        record.say(f"promotions: {len(estate.promotions)}")
        return BROKEN if broken else HELD
    finally:
        await fleet.end(keep="KEEP" in os.environ)


run(main)
