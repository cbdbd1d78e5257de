"""A VM that starts while the databases register again promotes the only one that it sees."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from case import BROKEN, HELD, TROUBLE, CannotRun, Load, Record, run  # noqa: E402
from estate import Estate  # noqa: E402
from fleet import Fleet, free_ports  # noqa: E402


async def hand_over(estate, record):
    """Planned work: the primary leaves, another takes over, and it comes back as a replica."""
    first = estate.databases[0]
    first.draining = True
    record("draining", id=first.id)
    await asyncio.sleep(7.5)
    if estate.primary is first:
        raise CannotRun("the planned change has not ended")
    await first.crash()
    first.draining = False
    await first.restart()
    record("returned", id=first.id)
    await asyncio.sleep(4)


async def disrupt(estate, fleet, record):
    """The store is down for 5.4 s; one VM is killed meanwhile and starts as the store returns."""
    estate.store.mode = "silent"
    record("store-down")
    await asyncio.sleep(4.6)
    record("kill", vm=1)
    await fleet.kill(1)
    await asyncio.sleep(0.8)
    record("store-up", entries=sorted(name for kind, name in estate.store.objects
                                      if kind == "servers"))
    estate.store_returns((1.9, 1.9, 0.1))
    await asyncio.sleep(0.15)
    record("start", vm=1)
    await fleet.start(1)


async def main():
    record = Record()
    base = free_ports(40)
    estate = Estate(base, base + 10, sync=1, lags=(0.02, 0.02, 0.06), record=record)
    fleet = Fleet(base)
    try:
        await estate.start()
        for vm in (1, 2, 3):
            await fleet.start(vm)
        if not await fleet.wait_ready():
            raise CannotRun("the VMs are not ready")
        load = Load(fleet, record)
        for number, vm in enumerate((2, 3, 2, 3)):
            load.add(vm, "session-log", f"WRITE item{number} v#")
        await asyncio.sleep(2)
        await hand_over(estate, record)
        if TROUBLE:
            await disrupt(estate, fleet, record)
        else:
            await asyncio.sleep(5.6)
        await asyncio.sleep(6)
        await load.stop()
        acknowledged = load.acknowledged("WRITE")
        if len(acknowledged) < 100:
            raise CannotRun("hardly any write was acknowledged")
        broken = False
        for when, ident, held in estate.promotions:
            lost = [i for i, at in acknowledged.items() if at < when and i not in held]
            broken = broken or bool(lost)
            record.say(f"promotion of {ident}: {len(lost)} commits that were acknowledged before are"
                       f" not in its log, as {lost[:4]}")
        record.say(f"{len(acknowledged)} writes acknowledged; LOST {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD
    finally:
        await fleet.end(keep="KEEP" in os.environ)


run(main)
