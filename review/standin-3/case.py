"""What the cases share: the record, consumers under load, and the exit code."""
import asyncio
import sys
import traceback

from estate import now
from fleet import Consumer

# run.sh passes the path of record.txt and, for TROUBLE=0, "0": the same without the disruption.
RECORD, TROUBLE = sys.argv[1], sys.argv[2] != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt of a case: one line for each event, with the seconds since the start."""

    def __init__(self):
        self.began = now()
        self.file = open(RECORD, "w", encoding="utf-8")
        self("start", trouble=int(TROUBLE))

    def __call__(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        print(f"{now() - self.began:8.3f} {event} {text}".rstrip(), file=self.file, flush=True)

    def say(self, text):
        self("result", text=text)
        print(text)


class CannotRun(Exception):
    """The case could not be brought about."""


class Load:
    """Consumers with one session each, one statement after the other. Every statement is noted in
    `answers`: id -> (when sent, when answered, what, the result line or None)."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.stopped = False
        self.gate = None  # an event that each statement waits for, if set
        self.answers = {}
        self.tasks = []

    def add(self, vm, route, text, pause=0.01):
        self.tasks.append(asyncio.create_task(
            self.session(vm, route, text, pause, len(self.tasks))))

    async def session(self, vm, route, text, pause, number):
        consumer, count = None, 0
        while not self.stopped:
            if self.gate:
                await self.gate.wait()
                if self.stopped:
                    break
            count += 1
            ident = f"c{number}-{count}"
            sent = now()
            if not consumer or not consumer.writer:
                consumer = Consumer(self.fleet, vm, route)
                if not await consumer.connect():
                    self.answers[ident] = (sent, now(), text, None)
                    self.record("no-session", id=ident, vm=vm)
                    await asyncio.sleep(0.2)
                    continue
            statement = text.replace("#", str(count))
            self.record("sent", id=ident, vm=vm, route=route, text=statement.replace(" ", "_"))
            answer = await consumer.ask(ident, statement)
            result = answer[1] if answer else None
            self.answers[ident] = (sent, now(), text, result)
            self.record("answered", id=ident, vm=vm, result=(result or "none").replace(" ", "_"))
            await asyncio.sleep(pause if result and result.startswith("COMPLETE") else 0.05)
        if consumer:
            consumer.close()

    def acknowledged(self, verb):
        """Ids of the statements that begin with verb and succeeded: id -> when answered."""
        return {ident: at for ident, (_, at, text, result) in self.answers.items()
                if text.startswith(verb) and result and result.startswith("COMPLETE")}

    def share_served(self, begin, end):
        results = [result for sent, _, _, result in self.answers.values() if begin <= sent < end]
        served = [r for r in results if r and r.startswith("COMPLETE")]
        return len(served), len(results)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


def run(main):
    """Runs main() and exits with its verdict; with 2 if the case could not run."""
    try:
        verdict = asyncio.run(asyncio.wait_for(main(), 115))
    except CannotRun as reason:
        print("could not run:", reason)
        verdict = NOT_RUN
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        verdict = NOT_RUN
    sys.exit(verdict)
