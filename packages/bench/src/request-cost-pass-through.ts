import { Agent, createServer, request } from "node:http";

/** Starts the baseline proxy: Node's HTTP server and client with a keep-alive agent, connected by pipes. */
export const startPassThrough = (targetPorts: readonly number[]): Promise<number> => {
    const agent = new Agent({ keepAlive: true });
    let next = 0;
    const server = createServer((req, res) => {
        const port = targetPorts[next % targetPorts.length];
        next += 1;
        const { method, headers, url: path } = req;
        const out = request({ agent, host: "127.0.0.1", port, method, path, headers }, answer => {
            res.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(res);
        });
        out.on("error", () => res.destroy());
        req.pipe(out);
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number }).port));
    });
};
