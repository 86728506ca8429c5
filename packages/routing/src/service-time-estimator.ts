/** Weight of the newest service time in the moving average. */
const SmoothingFactor = 0.1;

/** Exponential moving average of the time from sending to the complete response, by route. */
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

    /** Returns 0 until a time has been recorded. */
    expectedMs(route: string): number {
        return this.averageMs.get(route) ?? 0;
    }
}
