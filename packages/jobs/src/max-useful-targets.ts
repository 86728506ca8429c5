/** The value of a result decreases after the target time and is zero after this many target times. */
export const maxUsefulTargets = 3;
