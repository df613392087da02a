"""The store comes back from a copy; a key that is then taken away stays in use."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import rig as r  # noqa: E402

#: The bounds of the site file chairside-ne-grown that differ.
BOUNDS = {**r.BOUNDS, "ack-s": 5, "sync-s": 6, "drain-s": 2.5,
          "config-apply-s": 2.5, "revoke-everywhere": True, "revoke-s": 5,
          "retry-burst": 188, "quota-window-s": 5, "quota-overage": 0.25,
          "quota-slack": 20}
SERVICE = "bookkeeper"
KEY, OTHER_KEY = "r26tta828m82thhkmgjq", "nirth5mgjy5rcpihhacr"
AWAY_S = 1.0
CLIENTS_S = 8.0


def make(folder):
    made = r.Rig(folder, ["ne-east-a", "ne-east-b"], 2, BOUNDS)
    for number in range(6):
        made.add_server(f"s{number}", SERVICE, made.zones[number % 2])
    return made


def tenants(*keys):
    return {"yefi830": {"api-keys": list(keys), "priority": 0}}


async def write_config(rig, timeout, *keys):
    return await rig.configure(
        {"bookings": r.route("/bookings/", SERVICE, "unsafe", timeout)},
        (SERVICE,), tenants=tenants(*keys))


async def case(rig):
    await rig.start({"bookings": r.route("/bookings/", SERVICE, "unsafe")},
                    (SERVICE,))
    await write_config(rig, 2, KEY, OTHER_KEY)
    await asyncio.sleep(rig.bounds["contact-s"] + 1)
    copy = rig.store.copy()
    # Three writes that the copy lacks: a server starts, it is warm, and the
    # operator changes a timeout.
    new = rig.add_server("new", SERVICE, rig.zones[0])
    await new.open(new.address)
    new.id = "i-new-1"
    cold = new.entry("ready")
    cold["status"]["warmup-left-s"] = 1
    await rig.store.put("servers/i-new-1", cold)
    await asyncio.sleep(1)
    warm = {**cold, "status": {**cold["status"], "warmup-left-s": 0}}
    await rig.store.put("servers/i-new-1", warm)
    await write_config(rig, 2.1, KEY, OTHER_KEY)
    newest = r.json.loads(r.base64.b64decode(
        rig.store.items["op/config"]["value"]))
    await asyncio.sleep(1)
    if rig.trouble:
        rig.record.say("the store goes away")
        rig.store.close()
        await asyncio.sleep(AWAY_S)
        await rig.store.return_from(copy)
        rig.record.say(f"the store is back, at revision {rig.store.revision}, "
                       f"era {rig.store.era}")
        # What the server and the operator wrote is written again.
        await rig.store.put("servers/i-new-1", warm)
        await rig.store.put("op/config", newest)
    await asyncio.sleep(rig.bounds["contact-s"] + 2)
    acknowledged = await write_config(rig, 2.1, OTHER_KEY)
    rig.record.say("the configuration that takes the key away is acknowledged, "
                   f"at revision {rig.store.revision}")
    await asyncio.sleep(rig.bounds["revoke-s"] + 0.5)
    until = rig.record.now() + CLIENTS_S
    while rig.record.now() < until:
        for node in rig.nodes:
            for key in (KEY, OTHER_KEY):
                answer = await rig.request(node.ip, "POST", "/bookings/1",
                                           fields={"X-Api-Key": key})
                answer["key"] = key
    ran = {run[1] for run in rig.runs}
    sent = [answer for answer in rig.answers if answer["key"] == KEY and
            answer["sent"] > acknowledged + rig.bounds["revoke-s"]]
    late = [answer for answer in sent if answer["attempt"] in ran]
    served = sum(answer["status"] == 200 for answer in rig.answers
                 if answer["key"] == OTHER_KEY)
    last = max((answer["sent"] for answer in late), default=acknowledged)
    rig.record.say(
        f"sent with the key that was taken away, later than revoke-s: "
        f"{len(sent)}; run: {len(late)}, at "
        f"{len({one['node'] for one in late})} of {len(rig.nodes)} machines, "
        f"the last one sent {last - acknowledged:.1f} s after the "
        f"acknowledgement; served with the other key: {served}")
    if not sent:
        raise r.NotRun("no requests were sent")
    return r.BROKEN if late else r.HELD


r.play(HERE, make, case)
