/** The value of a command line's `--name`, or a fallback. */
export const commandFlag = (name: string, fallback: string): string => {
  const place = process.argv.indexOf(`--${name}`);
  return place < 0 ? fallback : (process.argv[place + 1] ?? fallback);
};
