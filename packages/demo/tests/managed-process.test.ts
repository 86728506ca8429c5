import { existsSync, readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { ManagedProcess } from "../src/managed-process.js";

const program = `
import { fstatSync } from "node:fs";
import { connect, createServer } from "node:net";

console.error([1, 2].map(descriptor => fstatSync(descriptor).isFile()).join());
const server = createServer(socket => socket.end("12345")).listen(0, "127.0.0.1", () => {
    connect(server.address().port, "127.0.0.1").resume().on("close", () => console.error("received"));
});
process.once("SIGTERM", () => server.close());
`;

// Guards against processes that all stop at the same time while the disk is busy: Node.js writes to a file synchronously.
t.test("a process writes no files itself, and its parent learns the bytes of its sockets", async t => {
    const dir = t.testdir({ "program.mjs": program });
    const managed = ManagedProcess.create("program", join(dir, "program.mjs"), "settings.toml", dir);
    const logFile = join(dir, "program.log");
    const log = (): string => (existsSync(logFile) ? readFileSync(logFile, "utf8") : "");
    while (!log().includes("received")) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const usage = await managed.readUsage();
    t.match(usage, { bytesRead: 5, bytesWritten: 5 });
    t.match(
        await managed.stop(),
        { exitCode: 0, signal: null },
        "the channel does not keep the process running",
    );
    t.equal(managed.unexpectedExit, undefined);
    t.match(log(), /^false,false\n/, "neither output is a file");
    t.strictSame(readdirSync(dir).sort(), ["program.log", "program.mjs"]);
});
