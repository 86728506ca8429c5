/** Name of the binary in help and error messages. */
export const programName = "samphireward-ctl";
