/** Splits `ip:port` or `[ip]:port`. Throws a `SyntaxError` for any other format. */
export const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
    const host = match?.[1] ?? match?.[2];
    if (host === undefined) {
        throw new SyntaxError(`"${address}" is not an address such as "127.0.0.1:7000"`);
    }
    return { host, port: Number(match?.[3]) };
};
