/** Exit codes of the daemon and of the operators' tool. */
export const EXIT_OK = 0;
/** The system answered with a failure: a refusal, a conflict, a difference, a broken promise or requests cut off by a drain. */
export const EXIT_REFUSED = 1;
/** Invalid arguments, settings or targets, or an address that cannot be listened on. */
export const EXIT_USAGE = 2;
/** The system or the platform could not be reached. */
export const EXIT_UNREACHABLE = 3;
/** A violated invariant or another uncaught exception, which is a bug; please report it. */
export const EXIT_INVARIANT = 70;
