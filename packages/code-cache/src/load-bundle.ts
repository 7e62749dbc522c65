import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { Script } from 'node:vm';

/** Bytes of the length at the end of a cache file; V8 does not detect that a part is missing. */
const lengthBytes = 4;

/** Use of the code cache at the load of a bundle. */
export enum CodeCacheState {
  Accepted = 'accepted',
  /** The cache was made with another version, other flags or another bundle, or is damaged. */
  Rejected = 'rejected',
  /** The file does not exist or cannot be read. */
  Missing = 'missing',
}

/** Bundle that was loaded, with the script that V8 compiled. */
export class LoadedBundle<Exports> {
  constructor(
    readonly exports: Exports,
    readonly cacheState: CodeCacheState,
    private readonly script: Script,
  ) {}

  /**
   * Writes what V8 has compiled of the bundle so far; the file is replaced as a whole. Throws if it
   * cannot be written.
   *
   * @example
   * loadBundle('target/node-bundle.cjs').writeCodeCache('target/node-bundle.cache');
   */
  writeCodeCache(cacheFile: string): void {
    const temporaryFile = `${cacheFile}.${process.pid}`;
    const code = this.script.createCachedData();
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(code.length);
    writeFileSync(temporaryFile, Buffer.concat([code, length]));
    renameSync(temporaryFile, cacheFile);
  }
}

/** Reads the code of a cache file; undefined if it is missing, empty if the file is incomplete. */
const readCache = (cacheFile: string | undefined): Buffer | undefined => {
  if (cacheFile === undefined) return undefined;
  try {
    const file = readFileSync(cacheFile);
    const codeLength = file.length - lengthBytes;
    const isComplete = codeLength > 0 && file.readUInt32BE(codeLength) === codeLength;
    return file.subarray(0, isComplete ? codeLength : 0);
  } catch {
    // The caller learns of it as `CodeCacheState.Missing`.
    return undefined;
  }
};

const stateOf = (script: Script, code: Buffer | undefined): CodeCacheState => {
  if (!code) return CodeCacheState.Missing;
  const isRejected = code.length === 0 || script.cachedDataRejected === true;
  return isRejected ? CodeCacheState.Rejected : CodeCacheState.Accepted;
};

/**
 * Loads a CommonJS bundle with the code cache of a file, if V8 accepts it. Throws if the bundle cannot
 * be read or fails while it is loaded.
 *
 * @example
 * const { exports, cacheState } = loadBundle<NodeBundle>('node-bundle.cjs', 'node-bundle.cache');
 */
export const loadBundle = <Exports>(
  bundleFile: string,
  cacheFile?: string,
): LoadedBundle<Exports> => {
  const source = readFileSync(bundleFile, 'utf8');
  const parameters = 'exports, require, module, __filename, __dirname';
  const cachedCode = readCache(cacheFile);
  const script = new Script(`(function (${parameters}) {${source}\n})`, {
    filename: bundleFile,
    ...(cachedCode?.length && { cachedData: cachedCode }),
  });
  const module = { exports: {} as Exports };
  const run = script.runInThisContext() as (...values: readonly unknown[]) => void;
  const requireForBundle = createRequire(bundleFile);
  run(module.exports, requireForBundle, module, bundleFile, dirname(bundleFile));
  return new LoadedBundle(module.exports, stateOf(script, cachedCode), script);
};
