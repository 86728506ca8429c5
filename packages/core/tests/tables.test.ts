import t from "tap";
import { Tables } from "../src/tables.js";

const routes = `
[routes.proof]
path = "/proof"
pool = "desk"
kind = "request"
idempotent = true
deadline = "800ms"
maxBodyBytes = 65536
maxQueue = 100
objective = { latency = "250ms", ratio = 0.99 }
`;
const pools = `
[zones.a]
region = "north"
cells = 2
[zones.b]
region = "south"
cells = 1
[links.north-south]
between = ["north", "south"]
bitsPerSecond = 20000000
[teams.orders]
quota = { processors = 100, memoryMb = 1000, accelerators = 0 }
[pools.desk]
class = "latency-critical"
team = "orders"
zones = ["a", "b"]
interferenceClass = "render"
service = { name = "desk", reserve = { processors = 4, memoryMb = 1024, accelerators = 0 }, slotsPerWorker = 8, connectionsPerWorker = 64 }
`;

// Guards against tables that are accepted with a name, type or unit that no process can use.
t.test("problems of invalid tables name the file and the key", t => {
    const invalid: { name: string; routes: string; pools: string; key: string; file: string }[] = [
        {
            name: "unknown key",
            routes: routes + "colour = 1\n",
            pools,
            key: "routes.proof.colour",
            file: "routes",
        },
        {
            name: "bad unit",
            routes: routes.replace("800ms", "800"),
            pools,
            key: "routes.proof.deadline",
            file: "routes",
        },
        {
            name: "wrong type",
            routes: routes.replace("= true", `= "yes"`),
            pools,
            key: "routes.proof.idempotent",
            file: "routes",
        },
        {
            name: "unknown pool",
            routes: routes.replace(`"desk"`, `"none"`),
            pools,
            key: "routes.proof.pool",
            file: "routes",
        },
        {
            name: "unknown zone",
            routes,
            pools: pools.replace(`["a", "b"]`, `["c"]`),
            key: "pools.desk.zones",
            file: "pools",
        },
        {
            name: "unknown team",
            routes,
            pools: pools.replace(`"orders"\nzones`, `"x"\nzones`),
            key: "pools.desk.team",
            file: "pools",
        },
        { name: "syntax", routes: "[routes", pools, key: "", file: "routes" },
    ];
    for (const { name, key, file, ...texts } of invalid) {
        const result = Tables.create(texts.routes, texts.pools);
        t.ok(result.isErr(), name);
        const problems = result.isErr() ? result.error : [];
        t.ok(
            problems.some(problem => problem.key === key && problem.file === file),
            `${name}: ${JSON.stringify(problems)}`,
        );
    }
    t.end();
});

t.test("lookups in valid tables", t => {
    const tables = Tables.create(routes, pools).unwrap();

    // Guards against a prefix that matches in the middle of a segment.
    t.equal(tables.routeFor("/proof/1")?.name, "proof");
    t.equal(tables.routeFor("/proofs"), undefined);
    t.equal(tables.routeFor("/proof")?.deadline, 800);

    t.strictSame(tables.allCells().map(String), ["a/0", "a/1", "b/0"]);
    t.equal(tables.linkBetween("south", "north")?.bitsPerSecond, 20_000_000);

    // Guards against a home cell that differs between two processes.
    const pool = tables.pools.get("desk");
    t.ok(pool);
    if (pool !== undefined) {
        const again = Tables.create(routes, pools).unwrap();
        t.equal(String(tables.homeCell(pool, "k1")), String(again.homeCell(pool, "k1")));
    }
    t.end();
});
