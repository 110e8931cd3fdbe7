/** A deployment as the development programs read it. */
export type Deployment = {
  readonly domains: ReadonlyArray<string>;
  readonly fronts: number;
  readonly stores: number;
  readonly cores: number;
  readonly samplers: ReadonlyArray<{
    readonly service: string;
    readonly kind: 'model' | 'plain';
    readonly count: number;
    readonly budget: number;
    readonly pieceMs: number;
    readonly loadMs: number;
  }>;
  readonly change: {
    readonly id: string;
    readonly services: Readonly<Record<string, { readonly kind: string }>>;
    readonly bindings: Readonly<
      Record<
        string,
        {
          readonly path: string;
          readonly methods: ReadonlyArray<string>;
          readonly service: string;
          readonly onceOnly?: boolean;
        }
      >
    >;
  };
  readonly taskTypes: ReadonlyArray<string>;
};

type Place = { readonly name: string; readonly domain: string };

const places = (prefix: string, count: number, domains: ReadonlyArray<string>): ReadonlyArray<Place> =>
  Array.from({ length: count }, (_, index) => ({
    name: `${prefix}${index + 1}`,
    domain: domains[index % domains.length]!,
  }));

/** Who runs where in a deployment. */
export const deployment = {
  nodes: (given: Deployment): ReadonlyArray<Place & { readonly role: 'core' | 'store' | 'front' }> => [
    ...places('core', given.cores, given.domains).map((place) => ({ ...place, role: 'core' as const })),
    ...places('store', given.stores, given.domains).map((place) => ({ ...place, role: 'store' as const })),
    ...places('front', given.fronts, given.domains).map((place) => ({ ...place, role: 'front' as const })),
  ],
  samplers: (given: Deployment) =>
    given.samplers.flatMap((group) =>
      places(`${group.service}-`, group.count, given.domains).map((place) => ({ ...place, ...group })),
    ),
  change: (given: Deployment) => ({
    ...given.change,
    stores: places('store', given.stores, given.domains).map((place) => place.name),
  }),
};
