import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import t from "tap";

const docsDir = join(process.cwd(), "docs");

const anchorOfHeading = (heading: string): string =>
    heading
        .toLowerCase()
        .replace(/[^\w\s-]/g, "")
        .trim()
        .replace(/\s/g, "-");

const anchorsOf = (page: string): string[] =>
    [...page.matchAll(/^#+ (.+)$/gm)].map(match => anchorOfHeading(match[1] ?? ""));

const findLinkProblem = (file: string, link: string): string | undefined => {
    const [path, anchor] = link.split("#");
    const target = path ? join(dirname(file), path) : file;
    if (!existsSync(target)) {
        return `${file}: ${link}: no such file`;
    }
    const isFound = !anchor || anchorsOf(readFileSync(target, "utf8")).includes(anchor);
    return isFound ? undefined : `${file}: ${link}: no such heading`;
};

// Guards against a link that breaks because its target page or heading was renamed or moved.
t.test("relative links of the pages under docs resolve", t => {
    const pages = readdirSync(docsDir, { recursive: true, encoding: "utf8" }).filter(name =>
        name.endsWith(".md"),
    );
    t.ok(pages.includes("design.md"));
    const links = pages.flatMap(name => {
        const file = join(docsDir, name);
        // Markdown does not render links inside code blocks and code spans.
        const text = readFileSync(file, "utf8")
            .replace(/^ *```[\s\S]*?^ *```/gm, "")
            .replace(/`[^`\n]*`/g, "");
        return [...text.matchAll(/\]\(([^)\s]+)\)/g)].map(match => ({ file, link: match[1] ?? "" }));
    });
    const relativeLinks = links.filter(({ link }) => !/^[a-z]+:/.test(link));
    t.ok(relativeLinks.length > 0);
    const problems = relativeLinks.flatMap(({ file, link }) => findLinkProblem(file, link) ?? []);
    t.strictSame(problems, []);
    t.end();
});
