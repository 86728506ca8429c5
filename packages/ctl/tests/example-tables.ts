import { readFileSync } from "node:fs";
import { join } from "node:path";

const tablePath = (table: string): string => join(process.cwd(), "examples", "kloverknap", `${table}.toml`);

/** Tables of examples/kloverknap, as texts and as command-line arguments. */
export const exampleTables = {
    routes: readFileSync(tablePath("routes"), "utf8"),
    pools: readFileSync(tablePath("pools"), "utf8"),
    args: ["--routes", tablePath("routes"), "--pools", tablePath("pools")],
};
