/** Result of one top-level test of a test file. */
export interface TestOutcome {
    /** Full name of the test: `<file> > <test>`. */
    readonly test: string;
    readonly passed: boolean;
    /** Failed assertions as JSON, or the exit code and stderr of the process; empty if the test passed. */
    readonly diagnostic: string;
}
