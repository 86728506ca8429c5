/**
 * Bounded queue that serves customers round-robin. When it is full, the newest item of the customer with the most
 * waiting items is dropped, so that a burst of one customer cannot starve the others.
 */
export class FairQueue<T> {
    /** Customers with waiting items, in round-robin order. */
    private readonly byCustomer = new Map<string, T[]>();
    private count = 0;

    private constructor(public maxItems: number) {}

    static create<T>(maxItems: number): FairQueue<T> {
        return new FairQueue<T>(maxItems);
    }

    get size(): number {
        return this.count;
    }

    /** Adds an item. Returns the item that was dropped, which may be the new one, or `undefined`. */
    push(customer: string, item: T): T | undefined {
        const own = this.byCustomer.get(customer);
        if (this.count < this.maxItems) {
            this.append(customer, own, item);
            return undefined;
        }
        const [longest, items] = this.longestQueue();
        if (longest === undefined || (own?.length ?? 0) + 1 >= items.length) {
            return item;
        }
        const dropped = items.at(-1);
        items.pop();
        this.count -= 1;
        this.append(customer, own, item);
        return dropped;
    }

    /** Removes and returns the next item. */
    shift(): T | undefined {
        for (const [customer, items] of this.byCustomer) {
            const item = items.shift();
            this.byCustomer.delete(customer);
            if (items.length > 0) {
                // Re-inserting the key moves the customer to the end of the iteration order.
                this.byCustomer.set(customer, items);
            }
            this.count -= 1;
            return item;
        }
        return undefined;
    }

    /** Removes an item regardless of its position. */
    remove(customer: string, item: T): void {
        const items = this.byCustomer.get(customer);
        const index = items?.indexOf(item) ?? -1;
        if (items === undefined || index < 0) {
            return;
        }
        items.splice(index, 1);
        this.count -= 1;
        if (items.length === 0) {
            this.byCustomer.delete(customer);
        }
    }

    private append(customer: string, own: T[] | undefined, item: T): void {
        if (own === undefined) {
            this.byCustomer.set(customer, [item]);
        } else {
            own.push(item);
        }
        this.count += 1;
    }

    private longestQueue(): [customer: string | undefined, items: T[]] {
        let best: [string | undefined, T[]] = [undefined, []];
        for (const [customer, items] of this.byCustomer) {
            if (items.length > best[1].length) {
                best = [customer, items];
            }
        }
        return best;
    }
}
