import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import t from "tap";

const program = fileURLToPath(new URL("./fixtures/reject-unhandled.js", import.meta.url));

// Guards against a rejection inside a library that ends the process.
t.test("an unhandled rejection is logged and counted", t => {
    const { status, stdout, stderr } = spawnSync(process.execPath, [program], { encoding: "utf8" });
    t.equal(status, 0, stderr);
    t.match(JSON.parse(stdout || "{}"), { "process.unhandled-rejections": 1 });
    t.match(stderr, /"message":"unhandled rejection","error":"TypeError: nobody handles this\\n +at /);
    t.end();
});
