import { OptionKind } from "./option-kind.js";

/** Options of the commands that read the routes and pools tables from files. */
export const tableOptions = {
    routes: {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "Routes table (TOML).",
        required: true,
    },
    pools: { kind: OptionKind.Text, placeholder: "FILE", description: "Pools table (TOML).", required: true },
} as const;
