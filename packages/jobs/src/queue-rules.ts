import type { QueueRule } from "./queue-rule.js";

/** The queue rules in force, by queue name. */
export class QueueRules {
    private rules: ReadonlyMap<string, QueueRule> = new Map();

    private configVersion: number | undefined;

    private constructor() {}

    static create(): QueueRules {
        return new QueueRules();
    }

    /** Version of the configuration that the rules are from, if it is known. */
    get version(): number | undefined {
        return this.configVersion;
    }

    replace(rules: readonly QueueRule[], version?: number): void {
        this.configVersion = version;
        this.rules = new Map(rules.map(rule => [rule.name, rule]));
    }

    get(name: string): QueueRule | undefined {
        return this.rules.get(name);
    }
}
