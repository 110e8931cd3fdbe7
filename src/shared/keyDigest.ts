import { createHash } from 'node:crypto';

/**
 * The digest by which a tenant's key is known. Keys are long random texts, so that SHA-256 (FIPS 180-4) needs no salt.
 */
export const keyDigest = (key: string): string => createHash('sha256').update(key).digest('base64url');
