/**
 * HTTP code shared by client, server and discovery connections: the strict codec for responses, the check of transfer
 * codings, and the names of the protocol's header fields.
 *
 * <p>Must not depend on requests, servers or connections.
 */
package loadbalancer.http;
