package weldhitch.coordinator.core;

import weldhitch.consensus.Message;
import weldhitch.consensus.Reply;

/** A message between coordinators. Any message may be lost, duplicated, late or reordered. Immutable. */
public sealed interface PeerMessage {
    /** Requests a vote; {@code term} counts the candidate's own elections. */
    record VoteRequest(long term) implements PeerMessage {}

    /** Grants a vote: the sender follows the candidate for the duration of a leader lease from now on. */
    record VoteGranted(long term) implements PeerMessage {}

    /** Announces that the candidate found no majority, abandons the term and releases its votes. */
    record VoteRelease(long term) implements PeerMessage {}

    /**
     * Announces that the leader is alive, and requests a renewal of the receiver's vote.
     *
     * @param sequence sequence number of the heartbeat within the term, from 1
     * @param clockId id of the fleet clock
     * @param clockReading reading of the fleet clock when the heartbeat is sent, in nanoseconds
     * @param clockError maximum error of that reading, in nanoseconds
     * @param ackedSequence sequence number of the last heartbeat that the receiver has acknowledged; 0 if there is none
     * @param ackedAt reading of the fleet clock when that acknowledgement arrived, in nanoseconds
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
     * Acknowledges a heartbeat and renews the vote from the time of this reply on. {@code generation} is the last one
     * that the sender knows to be committed.
     */
    record HeartbeatAck(long term, long sequence, long generation) implements PeerMessage {}

    /** Carries a consensus message from the named proposer to an acceptor. */
    record ConsensusRequest(String proposer, Message message) implements PeerMessage {}

    /** Carries the acceptor's reply to a {@link ConsensusRequest}. */
    record ConsensusReply(String proposer, Reply reply) implements PeerMessage {}
}
