"""A request that crashes the instances that run it comes again and again.

One request crashes each instance that begins to run it. Clients send it again
every three seconds, with the same path, caller and body, at another machine
each time. The instances are back four seconds after a crash. The case counts the
repeats: sends beyond the first of one client attempt that reach an instance
later than `contact_s` after the request has crashed the third instance.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True

import site_standins as site_module  # noqa: E402
from site_standins import TROUBLE  # noqa: E402

ZONES = {"sur-cerro": "sur", "sur-canelones": "sur",
         "litoral-paysandu": "litoral", "litoral-salto": "litoral"}
DOWN_S = 4
POISON = "/ficha/poison"
POISON_S = 55
POISON_GAP_S = 3
MAX_RETRIES = 3


class FragileInstance(site_module.Instance):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.lives = 1
        self.poisoned = []
        self.lost = []
        self.running = set()

    async def run(self, head, reader, writer):
        request = head.get("Request-Id")
        self.begin(head)
        if head.first[1] == POISON and TROUBLE:
            self.poisoned.append((time.monotonic(), request))
            self.lost += [other for other in self.running]
            self.record(f"instance {self.id}: crashes, {len(self.running)} "
                        f"other requests running")
            await self.crash()
            asyncio.create_task(self.come_back())
            return False
        self.running.add(request)
        await site_module.read_body(reader, head)
        await asyncio.sleep(self.work_s)
        self.running.discard(request)
        if not self.up:
            return False
        writer.write(self.answer(head, b"done"))
        await writer.drain()
        return True

    async def come_back(self):
        await asyncio.sleep(DOWN_S)
        self.lives += 1
        self.id = f"{self.id.split('.')[0]}.{self.lives}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.up = True
        self.running.clear()
        self.record(f"instance {self.id}: is back")
        await self.listen()


async def case(folder, sites):
    site = site_module.Site(folder, ZONES, seed=1)
    sites.append(site)
    await site.store.start()
    instances = []
    for service in ("patios", "retiros"):
        for zone in ZONES:
            machine = site.add(f"{service}-{zone}", zone, service)
            instances.append(FragileInstance(site.record, machine,
                                             f"i-{service}-{zone}"))
    site.configure(
        1, [{"name": "ficha", "host": "site.example", "prefix": "/ficha/",
             "service": "patios", "type": "idempotent", "timeout_s": 2,
             "target_latency_s": 0.3, "priority": 1, "max_attempts": 2}],
        [{"name": "patios", "health_path": "/healthz", "max_connections": 120,
          "cold_per_s": 17},
         {"name": "retiros", "health_path": "/healthz", "max_connections": 120,
          "cold_per_s": 17}])
    for machine, instance in zip(site.machines, instances):
        machine.start()
        await instance.listen()
    await site.until_ready()
    await asyncio.sleep(6)

    sending = True
    answers = []
    poison = []

    async def client(machine):
        while sending:
            answers.append(await site_module.request(
                site, machine, "GET", f"/ficha/{site.new_id()}",
                {"deadline_ms": 2000}))
            await asyncio.sleep(0.1)

    async def poisoner():
        end = time.monotonic() + POISON_S
        senders = [machine for machine in site.machines
                   if machine.service == "retiros"]
        while time.monotonic() < end:
            for machine in senders:
                poison.append(await site_module.request(
                    site, machine, "GET", POISON, {"deadline_ms": 2000}))
                await asyncio.sleep(POISON_GAP_S)

    clients = [asyncio.create_task(client(machine))
               for machine in site.machines]
    await asyncio.sleep(4.5)
    await poisoner()
    sending = False
    await asyncio.gather(*clients)

    crashes = sorted(event for instance in instances
                     for event in instance.poisoned)
    late = []
    if len(crashes) >= 3:
        after = crashes[2][0] + site.bounds["contact_s"]
        known = set()
        for at, identity in crashes:
            if identity in known and at > after:
                late.append((at, identity))
            known.add(identity)
    for at, identity in late:
        site.record(f"BUDGET: {identity} was sent once more and reached an "
                    f"instance {at - crashes[2][0]:.2f} s after the third "
                    f"crash")
    lost = sum(len(instance.lost) for instance in instances)
    served = sum(answer.status == 200 for answer in answers)
    summary = (f"{len(poison)} sends of the crashing request, {len(crashes)} "
               f"crashes, {len(late)} by a repeat later than contact_s after "
               f"the third; {lost} other requests were running at instances "
               f"that crashed; {served} of {len(answers)} others served")
    site.record(summary)
    print(summary)
    if served < len(answers) * 0.25:
        raise site_module.CannotRun("the site hardly served")
    return len(late) > MAX_RETRIES


sys.exit(site_module.main(FOLDER, case))
