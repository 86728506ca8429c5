import t from "tap";
import { run } from "./run.js";

const addressArgs = ["--address", "127.0.0.1:1"];
const submitArgs = ["submit", "--path", "/p", "--key", "k", ...addressArgs];

// Guards against invalid command lines that are accepted, and against errors that do not name the expected value.
t.test("invalid command lines", async t => {
    const invalid: { args: string[]; expected: RegExp }[] = [
        { args: [], expected: /Expected a command \(apply, .*\), got "nothing"/ },
        { args: ["aply"], expected: /Expected a command \(apply, .*\), got "aply"/ },
        { args: ["config"], expected: /Expected a command/ },
        { args: ["health"], expected: /Expected --address IP:PORT/ },
        { args: ["health", "--address", "localhost:1"], expected: /Expected an IP number and a port/ },
        { args: ["health", "extra", ...addressArgs], expected: /Expected no operands after "health"/ },
        {
            args: ["health", "--colour", ...addressArgs],
            expected: /Unknown option '--colour'\. Expected one of --address/,
        },
        {
            args: ["health", "--token-file", "a", "--token-file", "b", ...addressArgs],
            expected: /Expected --token-file once, got it 2 times/,
        },
        {
            args: ["status", "--pool", "p", ...addressArgs],
            expected: /Expected KEY after "status", got: nothing/,
        },
        { args: ["status", "k", ...addressArgs], expected: /Expected --pool POOL/ },
        { args: ["apply", ...addressArgs], expected: /Expected --routes FILE\nExpected --pools FILE/ },
        {
            args: ["health", "--timeout-ms", "1s", ...addressArgs],
            expected: /Expected a whole number of 0 or more/,
        },
        {
            args: ["config", "show", "--table", "x", ...addressArgs],
            expected: /Expected one of routes, pools/,
        },
        {
            args: ["health", "--token-file", "/nonexistent/t", ...addressArgs],
            expected: /Expected a file with a token/,
        },
        { args: ["cancel", "--pool", "p", ...addressArgs], expected: /Expected at least one key/ },
        { args: submitArgs, expected: /Expected exactly one of --payload and --payload-file/ },
        {
            args: [...submitArgs, "--payload", "x", "--processors", "1"],
            expected: /both --processors and --memory-mb/,
        },
        {
            args: [...submitArgs, "--payload", "x", "--processors", "one"],
            expected: /Expected a number of 0 or more/,
        },
        { args: [...submitArgs, "--payload-file", "/nonexistent/f"], expected: /Expected a readable file/ },
    ];
    for (const { args, expected } of invalid) {
        const result = await run(args);
        t.equal(result.exitCode, 64, args.join(" "));
        t.match(result.error, expected);
        t.equal(result.out, "");
    }
    const asJson = await run(["health", "--json"]);
    t.match(asJson.json, { code: 5004, name: "UsageError", message: "Expected --address IP:PORT" });
});
