"""Uploads in chunks while one instance sheds part of its requests.

A client sends a photo of 192 KiB as three chunks of 64 KiB, as a program does
that copies a file through a buffer, over a link that takes 150 ms for each. The
instance beside its daemon sheds: it answers 503 with `Not-Executed` as soon as
it has read the head. The daemon sends the upload once more, to an instance that
runs it. The case compares each body that was run with the body that was sent.
"""

import asyncio
import hashlib
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
sys.dont_write_bytecode = True

import site_standins as site_module  # noqa: E402
from site_standins import TROUBLE, head_bytes, read_body  # noqa: E402

ZONES = {"sur-cerro": "sur", "sur-canelones": "sur",
         "litoral-paysandu": "litoral", "litoral-salto": "litoral"}
SHED_SHARE = 0.45
SHED_S = 6.5
CHUNK = 64 * 1024
PAUSE_S = 0.15


def digest(body):
    return f"{len(body)} bytes {hashlib.sha256(body).hexdigest()[:12]}"


class PhotoInstance(site_module.Instance):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.sheds = False
        self.bodies = {}

    async def run(self, head, reader, writer):
        request = head.get("Request-Id")
        if self.sheds and self.machine.site.random.random() < SHED_SHARE:
            self.record(f"instance {self.id}: sheds {request}")
            writer.write(head_bytes("HTTP/1.1 503 Service Unavailable", [
                ("Request-Id", request), ("Not-Executed", "1"),
                ("Instance-Load", f"9,0,{self.capacity}"),
                ("Content-Length", "0")]))
            await writer.drain()
            await read_body(reader, head)
            return True
        body = await read_body(reader, head)
        self.begin(head)
        self.bodies[request] = body
        self.record(f"instance {self.id}: body of {request}: {digest(body)}")
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(head, b"stored"))
        await writer.drain()
        return True


async def case(folder, sites):
    site = site_module.Site(folder, ZONES, seed=1)
    sites.append(site)
    await site.store.start()
    instances = []
    for service in ("patios", "retiros"):
        for zone in ZONES:
            machine = site.add(f"{service}-{zone}", zone, service)
            instances.append(PhotoInstance(site.record, machine,
                                           f"i-{service}-{zone}"))
    site.configure(
        1, [{"name": "fotos", "host": "site.example", "prefix": "/fotos/",
             "service": "patios", "type": "upload", "timeout_s": 4,
             "target_latency_s": 0.6, "priority": 1, "max_attempts": 2}],
        [{"name": "patios", "health_path": "/healthz", "max_connections": 120,
          "cold_per_s": 17},
         {"name": "retiros", "health_path": "/healthz", "max_connections": 120,
          "cold_per_s": 17}])
    for machine, instance in zip(site.machines, instances):
        machine.start()
        await instance.listen()
    await site.until_ready()
    await asyncio.sleep(6)

    sent = {}

    async def upload():
        photo = os.urandom(3 * CHUNK)
        identity = site.new_id()
        sent[identity] = photo
        pieces = [photo[:CHUNK], PAUSE_S, photo[CHUNK:2 * CHUNK], PAUSE_S,
                  photo[2 * CHUNK:]]
        site.record(f"client: body of {identity}: {digest(photo)}")
        return await site_module.request(
            site, site.machines[0], "POST", f"/fotos/{identity}",
            {"id": identity}, pieces)

    uploads = []
    instances[0].sheds = TROUBLE
    for _ in range(int(SHED_S / 0.25)):
        uploads.append(asyncio.create_task(upload()))
        await asyncio.sleep(0.25)
    instances[0].sheds = False
    answers = await asyncio.gather(*uploads)

    changed = []
    for instance in instances:
        for identity, body in instance.bodies.items():
            if body != sent.get(identity):
                changed.append(identity)
                site.record(f"UNASKED: {identity} was run with another body")
    served = [answer for answer in answers if answer.status == 200]
    told = [answer for answer in served if answer.id in changed]
    summary = (f"{len(answers)} uploads, {len(served)} answered 200; run with "
               f"a changed body: {len(changed)}, of these answered 200: "
               f"{len(told)}")
    site.record(summary)
    print(summary)
    if len(served) < len(answers) // 4:
        raise site_module.CannotRun("the site hardly served")
    return bool(changed)


sys.exit(site_module.main(FOLDER, case))
