import { createHash, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";
import type { IncomingMessage } from "node:http";

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/**
 * Creates the authorization check of the administration port. With a token file, each request must carry the file's
 * token as its bearer token; without one, every request is accepted.
 */
export const createBearerCheck = (tokenFile: string | undefined): ((req: IncomingMessage) => boolean) => {
    if (tokenFile === undefined) {
        return () => true;
    }
    const expected = digest(`Bearer ${readFileSync(tokenFile, "utf8").trim()}`);
    return req => timingSafeEqual(digest(req.headers.authorization ?? ""), expected);
};
