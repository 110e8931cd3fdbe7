const letters = 'etaoinshrdlucmfwypvbgkjqxz ,.ETA';

/** A text of random letters, 5 bits each, so that it deflates about as far as real texts do. */
export const plainText = (length: number): string =>
  Array.from({ length }, () => letters[Math.floor(Math.random() * letters.length)]).join('');
