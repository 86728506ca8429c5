import type { Result } from "ts-results-es";
import type { ExchangeMessage } from "./exchange-message.js";

/** Carries an exchange to a peer at `ip:port`. Never rejects; the error text is for logs. */
export abstract class PeerExchange {
    abstract exchange(address: string, message: ExchangeMessage): Promise<Result<ExchangeMessage, string>>;
}
