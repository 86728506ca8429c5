/** A user and a scenario, which are run with every policy. */
export interface BenchCase {
    readonly user: string;
    readonly scenario: string;
    readonly seeds: readonly number[];
}
