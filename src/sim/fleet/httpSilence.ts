/** The body of an answer that did not come in time, while its connection stayed open. */
export const httpSilence = 'silence';
