/**
 * A capture played again. {@code Player} does so and holds each decision against the capture; what listens to it counts,
 * explains or checks. {@code policy} is the rules that a node must keep, as a judge of what it did.
 */
package weldhitch.replay;
