/** Source texts (TOML) of the routes and pools tables. */
export interface TableTexts {
    readonly routes: string;
    readonly pools: string;
}
