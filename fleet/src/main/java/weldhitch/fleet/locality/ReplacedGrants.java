package weldhitch.fleet.locality;

/** Policies for how {@link QuotaAllocator} counts a grant that a newer one for the same node and zone replaces. */
enum ReplacedGrants {
    /** The grant counts until it expires, because the node may not have received the newer one. Used in production. */
    COUNTED_UNTIL_EXPIRY,
    /** The grant no longer counts. For tests, which show that a zone is then granted more than it can serve. */
    IGNORED
}
