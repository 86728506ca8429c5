/** Weight of the newest service time. */
const NewestWeight = 0.1;

/** Moving average of the time from dispatch to the whole answer, by route. */
export class ServiceTimes {
    private readonly averageMs = new Map<string, number>();

    private constructor() {}

    static create(): ServiceTimes {
        return new ServiceTimes();
    }

    record(route: string, durationMs: number): void {
        const average = this.averageMs.get(route) ?? durationMs;
        this.averageMs.set(route, average + NewestWeight * (durationMs - average));
    }

    /** 0 as long as nothing is known. */
    expectedMs(route: string): number {
        return this.averageMs.get(route) ?? 0;
    }
}
