/** Below the range that the system takes for outgoing connections, which could occupy a chosen port. */
const FirstPort = 10_000;

let nextPort = FirstPort;

/** Loopback address of this process alone, so that deployments of other processes never use the same ports. */
const ownLoopback = (): string => {
    const { pid } = process;
    return `127.${64 + ((pid >> 16) & 63)}.${(pid >> 8) & 255}.${pid & 255}`;
};

/** Loopback addresses (`ip:port`) that no other deployment uses. */
export const freeAddresses = (count: number): string[] => {
    const first = nextPort;
    nextPort += count;
    return Array.from({ length: count }, (_, index) => `${ownLoopback()}:${first + index}`);
};
