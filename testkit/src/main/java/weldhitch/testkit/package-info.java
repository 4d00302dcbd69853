/**
 * Stand-in servers and scripted peers on loopback for the tests of every module. Main code never uses it.
 */
package weldhitch.testkit;
