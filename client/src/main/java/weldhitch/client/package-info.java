/** A considerate client of nodes. {@link weldhitch.client.WeldhitchClient} is where to begin. */
package weldhitch.client;
