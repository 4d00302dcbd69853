/**
 * What another operator file or another build would have made of a captured stretch: servers' answers are modelled by what
 * the capture says of them, arrivals and lists are the captured ones. Free of I/O, clock and threads.
 */
package weldhitch.lab.whatif;
