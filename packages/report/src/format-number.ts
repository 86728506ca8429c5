/** A number for people: whole from 100 on, three significant digits below; a dash for a missing one. */
export const formatNumber = (value: number | undefined): string => {
    if (value === undefined) {
        return "-";
    }
    const isLarge = Math.abs(value) >= 100;
    const digits = isLarge ? { maximumFractionDigits: 0 } : { maximumSignificantDigits: 3 };
    return value.toLocaleString("en-GB", digits);
};
