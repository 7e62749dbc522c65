import type { StoreItem } from '@sequoiafield/store';
import type { MeshConfiguration, MoveOrder, MoveRecord } from '@sequoiafield/types';

/** Kinds of entries that operators and nodes keep in the store. */
export enum OrderKind {
  Configuration = 'configuration',
  Move = 'move',
  MoveRecord = 'move-record',
  Evacuation = 'evacuation',
}

/** One decoded entry. */
export type Order =
  | { readonly kind: OrderKind.Configuration; readonly configuration: MeshConfiguration }
  | { readonly kind: OrderKind.Move; readonly move: MoveOrder }
  | { readonly kind: OrderKind.MoveRecord; readonly record: MoveRecord }
  | { readonly kind: OrderKind.Evacuation; readonly dataCentre: string };

/** Decodes an entry from the platform's format; throws an error that names the malformed field. */
export interface OrdersDecoder {
  decode(item: StoreItem): Order;
}
