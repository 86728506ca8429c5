import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { text } from "node:stream/consumers";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { codeOfAnswer } from "./code-of-answer.js";
import type { HttpAnswer } from "./http-answer.js";
import type { HttpCall } from "./http-call.js";

type ExchangeResult = Result<HttpAnswer, CodedError>;

const fail = (code: ResultCode, message: string): ExchangeResult => Err(CodedError.create(code, message));

const send = (req: ClientRequest, call: HttpCall): void => {
    if (call.body === undefined) {
        req.end();
        return;
    }
    const payload = Buffer.from(JSON.stringify(call.body));
    req.setHeader("content-type", "application/json");
    req.setHeader("content-length", payload.length);
    req.end(payload);
};

const readAnswer = async (address: string, res: IncomingMessage): Promise<ExchangeResult> => {
    try {
        const body = await text(res);
        const status = res.statusCode ?? 0;
        return Ok({ status, code: codeOfAnswer(res.headers, body), text: body });
    } catch (err) {
        return fail(
            ResultCode.AnswerTruncated,
            `The answer of ${address} ended early: ${(err as Error).message}`,
        );
    }
};

/**
 * Makes one HTTP call on a connection of its own. Codes in the 2xxx range prove that nothing was sent; 3xxx
 * codes mean that the call may have taken effect. Never rejects.
 */
export const httpExchange = (
    address: string,
    call: HttpCall,
    options: { readonly token: string | undefined; readonly timeoutMs: number },
): Promise<ExchangeResult> =>
    new Promise(resolve => {
        const headers = options.token === undefined ? {} : { authorization: `Bearer ${options.token}` };
        const req = request(`http://${address}${call.path}`, { method: call.method, headers, agent: false });
        let connected = false;
        const timer = setTimeout(() => {
            resolve(
                connected
                    ? fail(ResultCode.DeadlinePassed, `${address} did not answer in ${options.timeoutMs} ms`)
                    : fail(
                          ResultCode.NoTargetReachable,
                          `No connection to ${address} in ${options.timeoutMs} ms`,
                      ),
            );
            req.destroy();
        }, options.timeoutMs);
        req.on("socket", socket => socket.once("connect", () => (connected = true)));
        req.on("error", err => {
            clearTimeout(timer);
            resolve(
                connected
                    ? fail(ResultCode.ConnectionLost, `Connection to ${address} lost: ${err.message}`)
                    : fail(ResultCode.NoTargetReachable, `No connection to ${address}: ${err.message}`),
            );
        });
        req.on("response", res => {
            void readAnswer(address, res).then(answer => {
                clearTimeout(timer);
                resolve(answer);
            });
        });
        send(req, call);
    });
