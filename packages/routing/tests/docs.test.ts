import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { defaultRequestSettings } from "../src/default-request-settings.js";

const page = readFileSync(join(process.cwd(), "docs", "requests.md"), "utf8");

// Guards against a documented limit that differs from the code.
t.test("docs/requests.md lists every setting with its default", t => {
    for (const [name, value] of Object.entries(defaultRequestSettings)) {
        t.ok(page.includes(`| \`${name}\` | ${value} |`), name);
    }
    t.end();
});

// Guards against a result code of request handling that the page does not explain.
t.test("docs/requests.md lists every result code of request handling", t => {
    const codes = [
        1000, 2000, 2001, 2002, 2003, 2005, 2006, 2008, 2009, 2010, 2012, 2013, 2014, 3000, 3001, 3002, 3003,
        3004, 4000,
    ];
    for (const code of codes) {
        t.match(page, new RegExp(`\\b${code}\\b`), String(code));
    }
    t.end();
});
