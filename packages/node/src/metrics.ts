import { Gauge, Registry } from 'prom-client';

/** A number that a part of the node counts; read when metrics are asked for. */
export interface MetricSource {
  readonly name: string;
  readonly help: string;
  read(): number;
}

/**
 * Registry whose metrics are read from the parts of the node on demand, so that the request path
 * does no work for them.
 *
 * @example
 * createMetrics([{ name: 'sequoiafield_config_version', help: 'In force', read: () => 7 }]);
 */
export const createMetrics = (sources: readonly MetricSource[]): Registry => {
  const registry = new Registry();
  sources.forEach(({ name, help, read }) => {
    registry.registerMetric(
      new Gauge({
        name,
        help,
        registers: [],
        collect() {
          this.set(read());
        },
      }),
    );
  });
  return registry;
};
