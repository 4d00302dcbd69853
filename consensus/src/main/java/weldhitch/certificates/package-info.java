/** Certificates of a fleet: the certificate authority, and the identity that a certificate contains. */
package weldhitch.certificates;
