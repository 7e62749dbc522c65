const prefix = 'sequoiafield';

/** Keys of this project in the platform's store. */
export const storeKeys = {
  head: `${prefix}/head`,
  manifest: (digest: string): string => `${prefix}/manifest/${digest}`,
  section: (digest: string): string => `${prefix}/section/${digest}`,
  /** Progress of the retirement of old versions. */
  retired: `${prefix}/retired`,
  history: (configVersion: number): string => `${prefix}/history/${configVersion}`,
  verdict: (moveId: string): string => `${prefix}/verdict/${moveId}`,
  seeds: (dataCentre: string): string => `${prefix}/seeds/${dataCentre}`,
} as const;
