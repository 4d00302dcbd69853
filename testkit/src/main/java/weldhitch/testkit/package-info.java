/**
 * Test doubles on loopback for the tests of every module: scripted servers, a fault-injecting proxy, a fake
 * discovery service and a client that checks invariants. Production code does not use this package.
 */
package weldhitch.testkit;
