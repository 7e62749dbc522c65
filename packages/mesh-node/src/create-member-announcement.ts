import type { MemberAnnouncement } from '@sequoiafield/types';
import type { MeshNodeComponentsOptions } from './mesh-node-components.js';

/** Creates the row of this node in the members table, without a backend server. */
export const createMemberAnnouncement = ({
  settings,
  incarnation,
}: MeshNodeComponentsOptions): MemberAnnouncement => ({
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
