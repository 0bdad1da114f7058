/** Maximum total size of the answer bodies that a ledger keeps, in bytes. The oldest bodies are dropped first; their keys stay. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024 * 1024;
