/** One accepted change of the configuration, without its tables. */
export interface ConfigChangeInfo {
    readonly revision: number;
    readonly changeId: string;
    readonly author: string;
    /** Wall-clock time in milliseconds since 1970. */
    readonly timeMs: number;
}
