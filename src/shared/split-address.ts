/** Splits a network address into its host and port. */
import {isIP} from 'node:net';

/** A host by its IP address, and a port from 1 to 65535. */
export type NetworkAddress = {host: string; port: number};

const maxPort = 65_535;
const portPattern = /^[1-9]\d{0,4}$/v;

/**
 * Splits a network address. Host names are not accepted: processes address each other by IP address.
 *
 * @param address - `IP:port`; brackets around an IPv6 address are removed.
 * @returns The host and port; `undefined` if the text is not such an address.
 * @example
 * splitAddress('127.0.0.1:8080'); // {host: '127.0.0.1', port: 8080}
 * splitAddress('127.0.0.1'); // undefined
 */
export function splitAddress(address: string): NetworkAddress | undefined {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, Math.max(0, separator)).replace(/^\[(?<address>.*)\]$/v, '$<address>');
	const port = address.slice(separator + 1);
	return isIP(host) !== 0 && portPattern.test(port) && Number(port) <= maxPort ? {host, port: Number(port)} : undefined;
}
