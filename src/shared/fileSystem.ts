/** A file that is open for writing or for a sync. */
export type OpenFile = {
  readonly write: (bytes: Uint8Array, from: number) => Promise<{ readonly bytesWritten: number }>;
  readonly sync: () => Promise<void>;
  readonly datasync: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/** The calls of an operating system's file system that the fleet's programs use; paths are absolute. */
export type FileSystem = {
  /** Opens a file or, with `r`, a folder. */
  readonly open: (path: string, flags: 'r' | 'r+' | 'w') => Promise<OpenFile>;
  /** Makes a folder and those above it. */
  readonly makeFolder: (path: string) => Promise<void>;
  /** Names of the files of a folder, without its folders. */
  readonly list: (folder: string) => Promise<ReadonlyArray<string>>;
  readonly read: (path: string) => Promise<Buffer>;
  readonly write: (path: string, bytes: Uint8Array) => Promise<void>;
  readonly rename: (from: string, to: string) => Promise<void>;
  /** Removes a file, if it is there. */
  readonly remove: (path: string) => Promise<void>;
};
