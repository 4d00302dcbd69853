/** Certificates of a fleet, and who a certificate says that its holder is. */
package weldhitch.control.certs;
