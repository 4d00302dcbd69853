package weldhitch.fleet.locality;

/** How {@link QuotaAllocator} counts a grant that a newer one to the same node and zone has replaced. */
enum ReplacedGrants {
    /** It counts until it expires, as the node may not have received the newer one: the policy in production. */
    COUNTED_UNTIL_EXPIRY,
    /** It no longer counts: for tests, which show that a zone is then granted more than it can take. */
    IGNORED
}
