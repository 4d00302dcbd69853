package weldhitch.consensus;

/** A ballot number of Paxos: ordered by round, then by the proposer's name, which must be unique. Immutable. */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }
}
