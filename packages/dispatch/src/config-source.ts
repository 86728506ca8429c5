import type { OperatorConfig } from "./operator-config.js";

/** Where the operators' configuration comes from. */
export abstract class ConfigSource {
    /** Monotonic time of the last answer, whether or not the configuration changed. */
    abstract readonly lastAnswerAtMs: number;

    abstract run(signal: AbortSignal, onConfig: (config: OperatorConfig) => void): Promise<void>;
}
