import { BlockList, isIP, isIPv4 } from 'node:net';
import { iniValue, isName, nameExpectation } from './ini-values.js';

const loopbackAddresses = new BlockList();
loopbackAddresses.addSubnet('127.0.0.0', 8, 'ipv4');
loopbackAddresses.addAddress('::1', 'ipv6');

const portMax = 65_535;

/** IP address and port of a process. */
export interface IpEndpoint {
  readonly address: string;
  readonly port: number;
}

/**
 * Whether an IP address is a loopback address, which only the same machine can reach.
 *
 * @example
 * isLoopback('127.0.0.1'); // true
 */
export const isLoopback = (address: string): boolean =>
  loopbackAddresses.check(address, isIPv4(address) ? 'ipv4' : 'ipv6');

/**
 * Schema of an IPv4 or IPv6 address; host names are rejected.
 *
 * @example
 * ipAddress().parse('10.0.0.7');
 */
export const ipAddress = () =>
  iniValue('an IP address such as 10.0.0.7', (text) => (isIP(text) ? text : undefined));

/**
 * Schema of a TCP or UDP port from `min`; 0 lets the operating system choose a free one.
 *
 * @example
 * port(0).parse('7001'); // 7001
 */
export const port = (min: 0 | 1) =>
  iniValue(`a port from ${min} to ${portMax}`, (text) => {
    const value = Number(text);
    return /^\d{1,5}$/.test(text) && value >= min && value <= portMax ? value : undefined;
  });

const parseEndpoint = (text: string): IpEndpoint | undefined => {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const address = match?.[1] ?? match?.[2] ?? '';
  const value = Number(match?.[3]);
  return isIP(address) && value >= 1 && value <= portMax ? { address, port: value } : undefined;
};

const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

/**
 * Schema of a list of `ip:port` (IPv6 in brackets), separated by commas; may be empty.
 *
 * @example
 * endpointList().parse('10.0.0.7:7001, [::1]:7001');
 */
export const endpointList = () =>
  iniValue('a list of IP:PORT such as 10.0.0.7:7001, 10.0.0.8:7001', (text) => {
    const endpoints = splitList(text).map(parseEndpoint);
    return endpoints.every((endpoint) => endpoint !== undefined) ? endpoints : undefined;
  });

/**
 * Schema of a list of names, separated by commas; may be empty.
 *
 * @example
 * nameList().parse('rounds, settlement');
 */
export const nameList = () =>
  iniValue(`a list of names separated by commas, each ${nameExpectation}`, (text) => {
    const names = splitList(text);
    return names.every(isName) ? names : undefined;
  });

/**
 * Schema of an `http` or `https` URL without path, query or credentials.
 *
 * @example
 * httpUrl().parse('http://127.0.0.1:7070'); // 'http://127.0.0.1:7070'
 */
export const httpUrl = () =>
  iniValue('a URL such as http://10.0.0.5:7070', (text) => {
    if (!URL.canParse(text)) return undefined;
    const { protocol, origin, pathname, search, username } = new URL(text);
    const isPlain = pathname === '/' && search === '' && username === '';
    return ['http:', 'https:'].includes(protocol) && isPlain ? origin : undefined;
  });

/**
 * Schema of a path of a URL.
 *
 * @example
 * urlPath().parse('/health');
 */
export const urlPath = () =>
  iniValue('a path such as /health', (text) => (/^\/[^\s?#]*$/.test(text) ? text : undefined));
