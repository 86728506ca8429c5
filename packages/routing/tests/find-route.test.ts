import { readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";
import { join } from "node:path";
import { ResultCode } from "@samphireward/core/result-code";
import { Tables } from "@samphireward/core/tables";
import t from "tap";
import { findRoute } from "../src/find-route.js";

const example = (name: string): string =>
    readFileSync(join(process.cwd(), "examples", "kloverknap", name), "utf8");

const tables = Tables.create(example("routes.toml"), example("pools.toml")).unwrap();

// Guards against a path that a target or the task operations resolve to a different route than the one that was
// matched.
t.test("findRoute finds the route of a path, for requests and for tasks", t => {
    const table: [url: string, expected: string | ResultCode][] = [
        ["/order?x=1", "order"],
        ["/order/part", "order"],
        ["/bolt-watch/key-1", "bolt-watch"],
        ["/nowhere", ResultCode.UnknownRoute],
        ["order", ResultCode.BadRequest],
        ["/order/../bolt-watch/key-1", ResultCode.BadRequest],
        ["/bolt-watch/../order", ResultCode.BadRequest],
        ["/bolt-watch/%2e%2E/order", ResultCode.BadRequest],
        ["/bolt-watch/%2ehidden", ResultCode.BadRequest],
    ];
    for (const [url, expected] of table) {
        const found = findRoute({ url } as IncomingMessage, tables);
        t.equal(found.isOk() ? found.value.name : found.error, expected, url);
    }
    t.end();
});
