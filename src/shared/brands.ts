import { Brand } from 'effect';

/** A number in the register's order of decided configurations. */
export type Sequence = number & Brand.Brand<'Sequence'>;
/** The fencing number of a duty; a later holder always has a greater one. */
export type Token = number & Brand.Brand<'Token'>;
/** A point in time or a span, in milliseconds. */
export type Millis = number & Brand.Brand<'Millis'>;
/** The number of a model's weights. */
export type WeightVersion = number & Brand.Brand<'WeightVersion'>;
/** A node's name, unique in a fleet. */
export type NodeName = string & Brand.Brand<'NodeName'>;
/** An identity written to a disk when it was formatted. */
export type DiskId = string & Brand.Brand<'DiskId'>;
/** A lot's identity, derived from its key. */
export type LotId = string & Brand.Brand<'LotId'>;
/** A host and port, as text. */
export type Address = string & Brand.Brand<'Address'>;

/** Makers of the project's small branded types. */
export const brands = {
  sequence: Brand.nominal<Sequence>(),
  token: Brand.nominal<Token>(),
  millis: Brand.nominal<Millis>(),
  weightVersion: Brand.nominal<WeightVersion>(),
  nodeName: Brand.nominal<NodeName>(),
  diskId: Brand.nominal<DiskId>(),
  lotId: Brand.nominal<LotId>(),
  address: Brand.nominal<Address>(),
};
