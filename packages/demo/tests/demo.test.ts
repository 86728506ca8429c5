import { spawn } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import t from "tap";

const TestTimeoutMs = 180_000;

t.setTimeout(TestTimeoutMs);

// Guards against the first command of the README failing or not ending for a newcomer.
t.test("npm run demo ends by itself with 0", async t => {
    const program = fileURLToPath(new URL("../src/main.js", import.meta.url));
    const child = spawn(process.execPath, [program], { stdio: ["ignore", "pipe", "inherit"] });
    const exited = once(child, "exit");
    t.comment(await text(child.stdout));
    await exited;
    t.equal(child.exitCode, 0);
});
