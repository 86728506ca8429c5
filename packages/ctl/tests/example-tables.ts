import { readFileSync } from "node:fs";
import { join } from "node:path";

const tablePath = (table: string): string => join(process.cwd(), "examples", "kloverknap", `${table}.toml`);

/** The first user's tables: as texts and as arguments of a command. */
export const exampleTables = {
    routes: readFileSync(tablePath("routes"), "utf8"),
    pools: readFileSync(tablePath("pools"), "utf8"),
    args: ["--routes", tablePath("routes"), "--pools", tablePath("pools")],
};
