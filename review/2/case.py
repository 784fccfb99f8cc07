"""A daemon is killed after it has acknowledged that its instance leaves.

One of four instances announces its departure with `deregister` and goes on
serving for a while, as the page on discovery says of instances that never
report `draining`. Its daemon acknowledges this, is killed half a second later
and is started again. The case looks for requests that reach the instance later
than `drain_s` after the acknowledgement, once all machines are in touch again.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True

import site_standins as site_module  # noqa: E402
from site_standins import TROUBLE  # noqa: E402

ZONES = {"sur-cerro": "sur", "sur-canelones": "sur",
         "litoral-paysandu": "litoral", "litoral-salto": "litoral"}
# From the acknowledgement to the end of the instance: `drain_s` and "at times
# many seconds".
SERVES_ON_S = 14
RESTART_S = 0.5
# For requests that were on their way.
SLACK_S = 0.5


async def case(folder, sites):
    site = site_module.Site(folder, ZONES, seed=1)
    sites.append(site)
    await site.store.start()
    instances = []
    for service in ("patios", "retiros"):
        for zone in ZONES:
            machine = site.add(f"{service}-{zone}", zone, service)
            instances.append(site_module.Instance(site.record, machine,
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

    async def client(machine):
        while sending:
            answers.append(await site_module.request(
                site, machine, "GET", f"/ficha/{site.new_id()}",
                {"deadline_ms": 2000}))
            await asyncio.sleep(0.04)

    # Clients stay away from the machine whose daemon is killed.
    clients = [asyncio.create_task(client(machine))
               for machine in site.machines if machine.service == "retiros"]
    await asyncio.sleep(4.5)
    leaving, machine = instances[0], site.machines[0]
    await leaving.deregister()
    restarted = leaving.acknowledged
    if TROUBLE:
        await asyncio.sleep(0.5)
        machine.signal(signal.SIGKILL)
        await machine.wait_end()
        await asyncio.sleep(RESTART_S)
        machine.start()
        restarted = time.monotonic()
    await asyncio.sleep(leaving.acknowledged + SERVES_ON_S - time.monotonic())
    await leaving.crash()
    site.record(f"instance {leaving.id}: exits")
    sending = False
    await asyncio.gather(*clients)

    bound = site.bounds["drain_s"] + SLACK_S
    in_touch = restarted + site.bounds["contact_s"]
    late = [(at, identity) for at, identity in leaving.runs
            if at > leaving.acknowledged + bound and at > in_touch]
    for at, identity in late:
        site.record(f"DRAIN: {identity} was run "
                    f"{at - leaving.acknowledged:.2f} s after the "
                    f"acknowledgement")
    served = sum(answer.status == 200 for answer in answers)
    summary = (f"{len(answers)} requests, {served} served; {len(late)} reached "
               f"the instance later than drain_s + {SLACK_S} s after its "
               f"departure was acknowledged, with all machines in touch")
    site.record(summary)
    print(summary)
    if served < len(answers) * 0.75:
        raise site_module.CannotRun("the site hardly served")
    return bool(late)


sys.exit(site_module.main(FOLDER, case))
