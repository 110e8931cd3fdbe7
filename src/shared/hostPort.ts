/** Splits an address of the form `host:port`. */
export const hostPort = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
