import type { Result } from "ts-results-es";
import type { ExchangeMessage } from "./exchange-message.js";

/** Sends an exchange to the peer at `ip:port`. Never rejects; the error text is for logs only. */
export abstract class PeerExchange {
    abstract exchange(address: string, message: ExchangeMessage): Promise<Result<ExchangeMessage, string>>;
}
