/** Formats a number without decimals from 100 up, with three significant digits below, and `undefined` as a dash. */
export const formatNumber = (value: number | undefined): string => {
    if (value === undefined) {
        return "-";
    }
    const isLarge = Math.abs(value) >= 100;
    const digits = isLarge ? { maximumFractionDigits: 0 } : { maximumSignificantDigits: 3 };
    return value.toLocaleString("en-GB", digits);
};
