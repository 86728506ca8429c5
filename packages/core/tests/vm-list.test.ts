import t from "tap";
import { JsonServer } from "../src/json-server.js";
import { VmList } from "../src/vm-list.js";

const makeVm = (name: string, leaving: boolean, port = 1): Record<string, unknown> => ({
    name,
    role: "worker",
    taskAddress: `127.0.0.1:${port}`,
    serviceAddress: "127.0.0.1:2",
    dataCentre: "a",
    rack: "r",
    capacity: { processors: 1, memoryMb: 1, accelerators: 0 },
    leaving,
});

// Guards against a list that stays stale after a conditional request, or is lost while the directory
// cannot be reached.
t.test("the list follows changes and is kept while the directory cannot be reached", async t => {
    let vms = [makeVm("w1", false)];
    const server = JsonServer.create().on("GET", "/v1/vms", () => ({ status: 200, body: { vms } }));
    const list = VmList.create(await server.listen("127.0.0.1:0"));
    t.ok(await list.refresh());
    t.ok(await list.refresh(), "unchanged");
    t.equal(list.all().length, 1);
    vms = [makeVm("w1", true), makeVm("w2", false)];
    t.ok(await list.refresh());
    t.strictSame(
        list.all().map(worker => [worker.name, worker.leaving]),
        [
            ["w1", true],
            ["w2", false],
        ],
    );
    await server.close();
    t.notOk(await list.refresh());
    t.equal(list.all().length, 2);
    list.close();
});

// Guards against a leaving worker that gets work again because a lagging list shows it as live.
t.test("a worker stays marked as leaving until it is listed with another address", async t => {
    let vms = [makeVm("w1", false)];
    const server = JsonServer.create().on("GET", "/v1/vms", () => ({ status: 200, body: { vms } }));
    const list = VmList.create(await server.listen("127.0.0.1:0"));
    await list.refresh();
    list.markLeaving("w1");
    vms = [makeVm("w1", false), makeVm("w2", false)];
    await list.refresh();
    t.equal(list.get("w1")?.leaving, true);
    vms = [makeVm("w1", false, 9)];
    await list.refresh();
    t.equal(list.get("w1")?.leaving, false);
    list.close();
    await server.close();
});
