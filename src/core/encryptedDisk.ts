import { createCipheriv, createDecipheriv, randomBytes } from 'node:crypto';
import { Effect, type Context } from 'effect';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import { sealedFiles } from '../shared/sealedFiles.js';

type DiskService = Context.Tag.Service<typeof Disk>;

const algorithm = 'aes-256-gcm';
const secretBytes = 32;
const nonceBytes = 12;
const tagBytes = 16;
const secretFile = 'secret';
/** Begins each encrypted file; files without it were written before there was encryption. */
const marker = Buffer.from('foxdeck-aes256gcm-1\n');

const encrypt = (secret: Uint8Array, plain: Uint8Array): Uint8Array => {
  const nonce = randomBytes(nonceBytes);
  const cipher = createCipheriv(algorithm, secret, nonce);
  const body = Buffer.concat([cipher.update(plain), cipher.final()]);
  return Buffer.concat([marker, nonce, cipher.getAuthTag(), body]);
};

const decrypt = (secret: Uint8Array, file: Uint8Array): Uint8Array => {
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.length);
  if (!bytes.subarray(0, marker.length).equals(marker)) return bytes;
  const tagAt = marker.length + nonceBytes;
  const bodyAt = tagAt + tagBytes;
  const decipher = createDecipheriv(algorithm, secret, bytes.subarray(marker.length, tagAt));
  decipher.setAuthTag(bytes.subarray(tagAt, bodyAt));
  return Buffer.concat([decipher.update(bytes.subarray(bodyAt)), decipher.final()]);
};

/** The secret of a disk, made where there is none yet; it lasts before anything is written under it. */
const openSecret: Effect.Effect<Uint8Array, Fault, Disk> = Effect.gen(function* () {
  const disk = yield* Disk;
  if ((yield* disk.list('.')).includes(secretFile)) return yield* sealedFiles.read('.', secretFile);
  const secret = randomBytes(secretBytes);
  yield* sealedFiles.write('.', secretFile, secret);
  return secret;
});

/** A disk whose files are encrypted with AES-256-GCM (NIST SP 800-38D). A file that was changed can't be read. */
const over = (disk: DiskService, secret: Uint8Array): DiskService => ({
  ...disk,
  read: (path) =>
    Effect.flatMap(disk.read(path), (file) =>
      Effect.try({
        try: () => decrypt(secret, file),
        catch: (cause) => new Fault({ step: 'unseal', reason: `${path}: ${String(cause)}` }),
      }),
    ),
  write: (path, bytes) => Effect.suspend(() => disk.write(path, encrypt(secret, bytes))),
});

/** Encryption at rest, by a secret that each disk has for itself. */
export const encryptedDisk = { openSecret, over };
