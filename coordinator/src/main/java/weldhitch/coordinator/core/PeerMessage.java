package weldhitch.coordinator.core;

import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;

/** The messages between coordinators. Any of them may be lost, duplicated, late or reordered. Immutable. */
public sealed interface PeerMessage {
    /** Requests a vote. {@code term} counts the candidate's own elections. */
    record VoteRequest(long term) implements PeerMessage {}

    /** Grants a vote: the sender follows the candidate for the agreed time from now on. */
    record VoteGranted(long term) implements PeerMessage {}

    /** The candidate found no majority, abandons the term, and releases the coordinators that voted for it. */
    record VoteRelease(long term) implements PeerMessage {}

    /**
     * The leader is alive, and requests a renewal of the receiver's vote.
     *
     * @param sequence sequence number of the heartbeat within the term, from 1
     * @param clockId id of the fleet clock, which reads {@code clockReading}, to within {@code clockError}, as
     *     this is sent
     * @param clockReading reading of the fleet clock, in nanoseconds
     * @param clockError maximum error of that reading, in nanoseconds
     * @param ackedSequence sequence number of the last heartbeat that the receiver has acknowledged, 0 for none
     * @param ackedAt the fleet clock's reading when that acknowledgement arrived
     * @param generation the last generation that the leader knows to be committed
     */
    record Heartbeat(
            long term,
            long sequence,
            String clockId,
            long clockReading,
            long clockError,
            long ackedSequence,
            long ackedAt,
            long generation)
            implements PeerMessage {}

    /**
     * Acknowledges a heartbeat and renews the vote from it on; {@code generation} is the last one known here to
     * be committed.
     */
    record HeartbeatAck(long term, long sequence, long generation) implements PeerMessage {}

    /** A consensus message to an acceptor, from the proposer of that name. */
    record ConsensusRequest(String proposer, Message message) implements PeerMessage {}

    /** The acceptor's reply to a {@link ConsensusRequest} message. */
    record ConsensusReply(String proposer, Reply reply) implements PeerMessage {}
}
