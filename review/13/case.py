"""The store comes back from a copy; the next configuration is ignored."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import rig as r  # noqa: E402

#: Changes of the configuration in the seconds that the copy lacks.
CHANGES = 4
CHANGE_GAP_S = 0.33
AWAY_S = 1.0
CLIENTS_S = 8.0


def make(folder):
    made = r.Rig(folder, ["rotterdam-a", "rotterdam-b"], 2)
    for number in range(4):
        zone = made.zones[number % 2]
        made.add_server(f"old{number}", "toewijzing", zone)
        made.add_server(f"new{number}", "prijsbord", zone)
    return made


def routes(timeout, service, with_dropped):
    made = {"moved": r.route("/bids/", service, "unsafe", timeout)}
    if with_dropped:
        made["dropped"] = r.route("/lots/", "toewijzing", "unsafe", timeout)
    return made


async def case(rig):
    services = ("toewijzing", "prijsbord")
    await rig.start(routes(2, "toewijzing", True), services)
    copy = rig.store.copy()
    for change in range(CHANGES):
        await rig.configure(routes(2 + 0.1 * change, "toewijzing", True),
                            services)
        newest = dict(rig.store.items["op/config"])
        await asyncio.sleep(CHANGE_GAP_S)
    await asyncio.sleep(1)
    if rig.trouble:
        rig.record.say("the store goes away")
        rig.store.close()
        await asyncio.sleep(AWAY_S)
        await rig.store.return_from(copy)
        rig.record.say(f"the store is back, at revision {rig.store.revision}, "
                       f"era {rig.store.era}")
        # The operator writes its newest configuration again. The servers'
        # entries are as the copy has them.
        await rig.store.put("op/config", r.json.loads(
            r.base64.b64decode(newest["value"])))
    # Until the store is stable again, and all machines are in touch.
    await asyncio.sleep(rig.bounds["contact-s"] + 2)
    acknowledged = await rig.configure(routes(2.2, "prijsbord", False),
                                       services)
    rig.record.say("the change is acknowledged: /bids/ goes to prijsbord, "
                   "/lots/ is dropped")
    await asyncio.sleep(rig.bounds["config-apply-s"] + 0.5)
    until = rig.record.now() + CLIENTS_S
    while rig.record.now() < until:
        for node in rig.nodes:
            for path in ("/bids/1", "/lots/1"):
                await rig.request(node.ip, "POST", path)
    ran = {attempt: service for _, attempt, service, _ in rig.runs}
    late = [answer for answer in rig.answers if answer["sent"]
            > acknowledged + rig.bounds["config-apply-s"]]
    old = [answer for answer in late
           if ran.get(answer["attempt"]) == "toewijzing"]
    moved = [answer for answer in old if answer["path"] == "/bids/1"]
    rig.record.say(
        f"sent later than config-apply-s: {len(late)}; run by the old service: "
        f"{len(moved)} of the moved route, {len(old) - len(moved)} of the "
        f"dropped route, at {len({one['node'] for one in old})} of "
        f"{len(rig.nodes)} machines")
    if not late:
        raise r.NotRun("no requests were sent")
    return r.BROKEN if old else r.HELD


r.play(HERE, make, case)
