/** Name of the executable in help texts and error messages. */
export const programName = "samphireward-ctl";
