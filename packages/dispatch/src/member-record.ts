/** Value of the key under which a process of the system is found by the others. */
export interface MemberRecord {
    /** Address that serves calls from other processes of the system. */
    readonly address: string;
}
