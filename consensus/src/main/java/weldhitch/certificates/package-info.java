/** Certificates of a fleet: the certificate authority, and the identity that a certificate names. */
package weldhitch.certificates;
