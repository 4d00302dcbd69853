/**
 * A client library for load-balancing nodes: deadlines, retries within a budget, client-side throttling and outlier
 * ejection. Start with {@link weldhitch.client.WeldhitchClient}.
 */
package weldhitch.client;
