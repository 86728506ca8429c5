import t from "tap";
import { run } from "./run.js";

const address = ["--address", "127.0.0.1:1"];
const task = ["submit", "--path", "/p", "--key", "k", ...address];

// Guards against a command line that is accepted although it is invalid, and against errors that name no expectation.
t.test("invalid command lines", async t => {
    const invalid: { args: string[]; expected: RegExp }[] = [
        { args: [], expected: /Expected a command \(apply, .*\), got "nothing"/ },
        { args: ["aply"], expected: /Expected a command \(apply, .*\), got "aply"/ },
        { args: ["config"], expected: /Expected a command/ },
        { args: ["health"], expected: /Expected --address IP:PORT/ },
        { args: ["health", "--address", "localhost:1"], expected: /Expected an IP number and a port/ },
        { args: ["health", "extra", ...address], expected: /Expected no operands after "health"/ },
        {
            args: ["health", "--colour", ...address],
            expected: /Unknown option '--colour'\. Expected one of --address/,
        },
        {
            args: ["health", "--token-file", "a", "--token-file", "b", ...address],
            expected: /Expected --token-file once, got it 2 times/,
        },
        {
            args: ["status", "--pool", "p", ...address],
            expected: /Expected KEY after "status", got: nothing/,
        },
        { args: ["status", "k", ...address], expected: /Expected --pool POOL/ },
        { args: ["apply", ...address], expected: /Expected --routes FILE\nExpected --pools FILE/ },
        {
            args: ["health", "--timeout-ms", "1s", ...address],
            expected: /Expected a whole number of 0 or more/,
        },
        { args: ["config", "show", "--table", "x", ...address], expected: /Expected one of routes, pools/ },
        {
            args: ["health", "--token-file", "/nonexistent/t", ...address],
            expected: /Expected a file with a token/,
        },
        { args: ["cancel", "--pool", "p", ...address], expected: /Expected at least one key/ },
        { args: task, expected: /Expected exactly one of --payload and --payload-file/ },
        {
            args: [...task, "--payload", "x", "--processors", "1"],
            expected: /both --processors and --memory-mb/,
        },
        {
            args: [...task, "--payload", "x", "--processors", "one"],
            expected: /Expected a number of 0 or more/,
        },
        { args: [...task, "--payload-file", "/nonexistent/f"], expected: /Expected a readable file/ },
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
