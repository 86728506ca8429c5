/** Texts of the two tables. */
export interface TableTexts {
    readonly routes: string;
    readonly pools: string;
}
