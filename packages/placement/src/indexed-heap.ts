/** Binary heap with removal by key. `add`, `remove` and `pop` cost O(log n), `peek` and `get` O(1). */
export class IndexedHeap<T extends { readonly key: string }> {
    private readonly items: T[] = [];
    private readonly positions = new Map<string, number>();

    private constructor(private readonly isBefore: (a: T, b: T) => boolean) {}

    static create<T extends { readonly key: string }>(isBefore: (a: T, b: T) => boolean): IndexedHeap<T> {
        return new IndexedHeap(isBefore);
    }

    get size(): number {
        return this.items.length;
    }

    peek(): T | undefined {
        return this.items[0];
    }

    /** The items in the order of the heap's array. */
    values(): Iterable<T> {
        return this.items.values();
    }

    get(key: string): T | undefined {
        const position = this.positions.get(key);
        return position === undefined ? undefined : this.items[position];
    }

    /** Returns false, without any change, if an item with this key is present already. */
    add(item: T): boolean {
        if (this.positions.has(item.key)) {
            return false;
        }
        this.items.push(item);
        this.moveUp(item, this.items.length - 1);
        return true;
    }

    remove(key: string): T | undefined {
        const position = this.positions.get(key);
        const item = position === undefined ? undefined : this.items[position];
        const last = this.items.pop();
        if (position === undefined || item === undefined || last === undefined) {
            if (last !== undefined) {
                this.items.push(last);
            }
            return undefined;
        }
        this.positions.delete(key);
        if (last !== item) {
            this.moveDown(last, this.moveUp(last, position));
        }
        return item;
    }

    private moveUp(item: T, from: number): number {
        let position = from;
        while (position > 0) {
            const parentPosition = (position - 1) >> 1;
            const parent = this.items[parentPosition];
            if (parent === undefined || !this.isBefore(item, parent)) {
                break;
            }
            this.place(parent, position);
            position = parentPosition;
        }
        this.place(item, position);
        return position;
    }

    private moveDown(item: T, from: number): void {
        let position = from;
        for (;;) {
            const child = this.firstChild(position);
            const childItem = child === undefined ? undefined : this.items[child];
            if (child === undefined || childItem === undefined || !this.isBefore(childItem, item)) {
                break;
            }
            this.place(childItem, position);
            position = child;
        }
        this.place(item, position);
    }

    private firstChild(position: number): number | undefined {
        const left = 2 * position + 1;
        const leftItem = this.items[left];
        const rightItem = this.items[left + 1];
        if (leftItem === undefined) {
            return undefined;
        }
        return rightItem !== undefined && this.isBefore(rightItem, leftItem) ? left + 1 : left;
    }

    private place(item: T, position: number): void {
        this.items[position] = item;
        this.positions.set(item.key, position);
    }
}
