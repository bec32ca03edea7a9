/**
 * Preloaded by programs of the soak: connections to some addresses go to proxies instead. Programs find
 * each other through rows and messages, which name the address at which an entry listens.
 */
const { Socket } = require('node:net');

/** Addresses of proxies by the address that the program connects to, both as `host:port`. */
const routes = new Map(Object.entries(JSON.parse(process.env.SOAK_ROUTES ?? '{}')));

const { connect } = Socket.prototype;

/** Returns the options of a call of `connect`, in any of its forms that name a host. */
function optionsOf([first]) {
  return Array.isArray(first) ? first[0] : first;
}

Socket.prototype.connect = function connectByRoute(...args) {
  const options = optionsOf(args);
  const route = routes.get(`${options?.host}:${options?.port}`);
  if (route !== undefined) [options.host, options.port] = route.split(':');
  return connect.apply(this, args);
};
