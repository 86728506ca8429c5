/** Named counters of a process. A counter is created on first use and never decreases. */
export class Counters {
    private readonly values = new Map<string, number>();

    private constructor() {}

    static create(): Counters {
        return new Counters();
    }

    add(name: string, by = 1): void {
        this.values.set(name, (this.values.get(name) ?? 0) + by);
    }

    get(name: string): number {
        return this.values.get(name) ?? 0;
    }

    snapshot(): Record<string, number> {
        return Object.fromEntries([...this.values].sort(([a], [b]) => (a < b ? -1 : 1)));
    }
}
