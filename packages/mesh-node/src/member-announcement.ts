import type { MemberAnnouncement } from '@sequoiafield/types';
import type { MeshNodeSettings } from './settings.js';

/** Creates what a node announces about itself at its start, when no backend server takes work yet. */
export const createMemberAnnouncement = (
  settings: MeshNodeSettings,
  incarnation: number,
): MemberAnnouncement => ({
  id: settings.id,
  incarnation,
  address: settings.address,
  gossipPort: settings.peerPort,
  linkPort: settings.peerPort,
  callPort: settings.ingress.port,
  region: settings.region,
  dataCentre: settings.dataCentre,
  service: '',
  backendVersion: '',
});
