/** Weight of the newest service time. */
const SmoothingFactor = 0.1;

/** Moving average of the time from dispatch to the whole answer, by route. */
export class ServiceTimeEstimator {
    private readonly averageMs = new Map<string, number>();

    private constructor() {}

    static create(): ServiceTimeEstimator {
        return new ServiceTimeEstimator();
    }

    record(route: string, durationMs: number): void {
        const average = this.averageMs.get(route) ?? durationMs;
        this.averageMs.set(route, average + SmoothingFactor * (durationMs - average));
    }

    /** 0 as long as nothing is known. */
    expectedMs(route: string): number {
        return this.averageMs.get(route) ?? 0;
    }
}
