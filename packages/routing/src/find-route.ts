import type { IncomingMessage } from "node:http";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Tables } from "@samphireward/core/tables";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

/** Dot segments, which a target may resolve to a different path than the one that was matched. */
const dotSegment = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i;

/** Finds the route for the path of a request. The error is the result code for the caller. */
export const findRoute = (req: IncomingMessage, tables: Tables): Result<Route, ResultCode> => {
    const url = req.url ?? "";
    const query = url.indexOf("?");
    const path = query < 0 ? url : url.slice(0, query);
    if (!path.startsWith("/") || (path.includes("/.") && dotSegment.test(path)) || /\/%2e/i.test(path)) {
        return Err(ResultCode.BadRequest);
    }
    const route = tables.routeFor(path);
    return route === undefined ? Err(ResultCode.UnknownRoute) : Ok(route);
};
