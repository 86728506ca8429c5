import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/** Makes the check of the administration port: with a token file, each request needs its token as bearer. */
export const bearerCheck = (tokenFile: string | undefined): ((req: IncomingMessage) => boolean) => {
    if (tokenFile === undefined) {
        return () => true;
    }
    const expected = digest(`Bearer ${readFileSync(tokenFile, "utf8").trim()}`);
    return req => timingSafeEqual(digest(req.headers.authorization ?? ""), expected);
};
