const answerStatusMin = 200;
const answerStatusMax = 599;

/**
 * Returns whether a value is the status of a final answer: a whole number from 200 to 599 (RFC 9110,
 * section 15). Informational statuses precede an answer and are none.
 *
 * @example
 * isAnswerStatus(103); // false
 */
export const isAnswerStatus = (status: unknown): status is number =>
  Number.isInteger(status) &&
  (status as number) >= answerStatusMin &&
  (status as number) <= answerStatusMax;
