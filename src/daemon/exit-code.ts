/** Exit codes of the daemon and of the operators' tool. */
export const EXIT_OK = 0;
/** The system was asked and said no: a refusal, a conflict, a broken promise. */
export const EXIT_REFUSED = 1;
/** Bad arguments, settings or targets. */
export const EXIT_USAGE = 2;
/** The system or the platform could not be reached. */
export const EXIT_UNREACHABLE = 3;
/** A broken invariant; a report of it is welcome. */
export const EXIT_INVARIANT = 70;
