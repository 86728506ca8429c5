import { readFileSync } from "node:fs";
import { join } from "node:path";

const fileOf = (table: string): string => join(process.cwd(), "examples", "kloverknap", `${table}.toml`);

/** The first user's tables: as texts and as arguments of a command. */
export const exampleTables = {
    routes: readFileSync(fileOf("routes"), "utf8"),
    pools: readFileSync(fileOf("pools"), "utf8"),
    args: ["--routes", fileOf("routes"), "--pools", fileOf("pools")],
};
