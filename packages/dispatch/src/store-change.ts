/** A change that a watch reports; `value` is undefined if the key was deleted. */
export interface StoreChange {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
}
