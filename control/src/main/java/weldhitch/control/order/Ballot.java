package weldhitch.control.order;

/** Orders the proposals of one generation: by round, then by the proposer's name, which no two share. */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }
}
