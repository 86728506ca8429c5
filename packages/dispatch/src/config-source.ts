import type { OperatorConfig } from "./operator-config.js";

/** Source of the operators' configuration. */
export abstract class ConfigSource {
    /** Monotonic time of the last response, whether or not the configuration changed. */
    abstract readonly lastResponseAtMs: number;

    abstract run(signal: AbortSignal, onConfig: (config: OperatorConfig) => void): Promise<void>;
}
