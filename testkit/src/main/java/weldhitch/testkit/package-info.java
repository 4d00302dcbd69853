/**
 * Test doubles on loopback for the tests of every module: scripted servers, a fault-injecting proxy, a fake
 * discovery service and a client that checks invariants. Production code never uses this package.
 */
package weldhitch.testkit;
