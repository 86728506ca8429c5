import type { QueueRule } from "./queue-rule.js";

/** The queue rules in force, by queue name. */
export class QueueRules {
    private rules: ReadonlyMap<string, QueueRule> = new Map();

    private constructor() {}

    static create(): QueueRules {
        return new QueueRules();
    }

    replace(rules: readonly QueueRule[]): void {
        this.rules = new Map(rules.map(rule => [rule.name, rule]));
    }

    get(name: string): QueueRule | undefined {
        return this.rules.get(name);
    }
}
