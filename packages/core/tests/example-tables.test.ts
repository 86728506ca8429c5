import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { Tables } from "../src/tables.js";

// Guards against example tables that no longer match the schema after it changed.
for (const user of ["kloverknap", "agency"]) {
    t.test(`the tables of ${user} are accepted`, t => {
        const read = (file: string): string =>
            readFileSync(join(process.cwd(), "examples", user, file), "utf8");
        const result = Tables.create(read("routes.toml"), read("pools.toml"));
        t.strictSame(result.isErr() ? result.error : [], []);
        t.end();
    });
}
