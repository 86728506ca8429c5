import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { text } from "node:stream/consumers";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { resultCodeOf } from "./result-code-of.js";
import type { HttpResponse } from "./http-response.js";
import type { HttpRequest } from "./http-request.js";

type ExchangeResult = Result<HttpResponse, CodedError>;

const failure = (code: ResultCode, message: string): ExchangeResult => Err(CodedError.create(code, message));

const writeBody = (req: ClientRequest, httpRequest: HttpRequest): void => {
    if (httpRequest.body === undefined) {
        req.end();
        return;
    }
    const payload = Buffer.from(JSON.stringify(httpRequest.body));
    req.setHeader("content-type", "application/json");
    req.setHeader("content-length", payload.length);
    req.end(payload);
};

const readResponse = async (address: string, res: IncomingMessage): Promise<ExchangeResult> => {
    try {
        const body = await text(res);
        const status = res.statusCode ?? 0;
        return Ok({ status, code: resultCodeOf(res.headers, body), text: body });
    } catch (err) {
        return failure(
            ResultCode.AnswerTruncated,
            `The answer of ${address} ended early: ${(err as Error).message}`,
        );
    }
};

/**
 * Sends one HTTP request on a new connection. An error with a 2xxx code means that nothing was sent; one with a
 * 3xxx code means that the request may have taken effect. The promise never rejects.
 */
export const sendHttpRequest = (
    address: string,
    httpRequest: HttpRequest,
    options: { readonly token: string | undefined; readonly timeoutMs: number },
): Promise<ExchangeResult> =>
    new Promise((resolve, reject) => {
        const headers = options.token === undefined ? {} : { authorization: `Bearer ${options.token}` };
        const req = request(`http://${address}${httpRequest.path}`, {
            method: httpRequest.method,
            headers,
            agent: false,
        });
        let isConnected = false;
        const timer = setTimeout(() => {
            resolve(
                isConnected
                    ? failure(
                          ResultCode.DeadlinePassed,
                          `${address} did not answer in ${options.timeoutMs} ms`,
                      )
                    : failure(
                          ResultCode.NoTargetReachable,
                          `No connection to ${address} in ${options.timeoutMs} ms`,
                      ),
            );
            req.destroy();
        }, options.timeoutMs);
        req.on("socket", socket => socket.once("connect", () => (isConnected = true)));
        req.on("error", err => {
            clearTimeout(timer);
            resolve(
                isConnected
                    ? failure(ResultCode.ConnectionLost, `Connection to ${address} lost: ${err.message}`)
                    : failure(ResultCode.NoTargetReachable, `No connection to ${address}: ${err.message}`),
            );
        });
        req.on("response", res => {
            readResponse(address, res).then(response => {
                clearTimeout(timer);
                resolve(response);
            }, reject);
        });
        writeBody(req, httpRequest);
    });
