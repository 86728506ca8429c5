/**
 * Token bucket that limits retries to a fraction of the load: each request adds `tokensPerRequest` tokens, each
 * retry takes one. The bucket starts full, so that the first failures after an idle period can be retried.
 */
export class RetryBudget {
    private tokens: number;

    private constructor(
        private readonly tokensPerRequest: number,
        private readonly maxTokens: number,
    ) {
        this.tokens = maxTokens;
    }

    static create(tokensPerRequest = 0.1, maxTokens = 10): RetryBudget {
        return new RetryBudget(tokensPerRequest, maxTokens);
    }

    countRequest(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
    }

    get hasToken(): boolean {
        return this.tokens >= 1;
    }

    /** Takes a token if there is one. */
    tryTake(): boolean {
        if (!this.hasToken) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
