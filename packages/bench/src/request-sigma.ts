/** Standard deviation of the logarithm of the simulated request times. */
export const requestSigma = 0.35;
