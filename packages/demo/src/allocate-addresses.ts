/** Below the ephemeral port range, from which an outgoing connection could occupy an allocated port. */
const FirstPort = 10_000;

let nextPort = FirstPort;

/** Returns a loopback address derived from the process id, so that deployments of other processes use no port twice. */
const processLoopbackIp = (): string => {
    const { pid } = process;
    return `127.${64 + ((pid >> 16) & 63)}.${(pid >> 8) & 255}.${pid & 255}`;
};

/** Allocates loopback addresses (`ip:port`) that no other deployment uses. */
export const allocateAddresses = (count: number): string[] => {
    const first = nextPort;
    nextPort += count;
    return Array.from({ length: count }, (_, index) => `${processLoopbackIp()}:${first + index}`);
};
