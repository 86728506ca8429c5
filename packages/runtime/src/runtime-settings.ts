/** The settings that both kinds of processes have. Durations are in milliseconds. */
export interface RuntimeSettings {
    readonly name: string;
    readonly region: string;
    readonly dataCentre: string;
    readonly logLevel: "debug" | "info" | "warn" | "error";
    readonly peer: { readonly listen: string; readonly seeds: readonly string[] };
    readonly store: { readonly address: string; readonly timeout: number };
    readonly directory: { readonly address: string; readonly interval: number };
}
