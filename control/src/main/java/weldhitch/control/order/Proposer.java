package weldhitch.control.order;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import weldhitch.control.order.Message.*;
import weldhitch.control.order.Reply.*;

/**
 * Brings one order to its decision (a proposer of Paxos): the generation after the one that its operator has seen. It ends
 * with that generation decided, by this order or by another, or without a majority of the agents. An order that others had
 * begun is finished in its stead, so that one whose operator died is not left half done.
 */
public final class Proposer {
    /** How it ended, or that it has not. */
    public sealed interface Outcome {
    }

    /** Not yet. */
    public record Open() implements Outcome {
    }

    /** The order is decided, and in force in {@code epoch}. */
    public record Won(Epoch epoch) implements Outcome {
    }

    /**
     * Another order was decided first, or in its stead while this one was not looking; {@code epoch} names the last one
     * decided, its operator and when it was issued.
     */
    public record Lost(Epoch epoch) implements Outcome {
    }

    private final String name;
    private final List<String> agents;
    private final Epoch seen;
    private final Order order;
    private final Set<String> promised = new HashSet<>();
    private final Set<String> taken = new HashSet<>();
    private Ballot ballot;
    private long highestRound;
    private Ballot bestBallot;
    private Epoch candidate;
    private boolean proposing;
    private Outcome outcome = new Open();

    /**
     * @param name no two proposers at work share one
     * @param agents all agents of the fleet: a majority of them decides
     * @param seen the epoch that the operator looked at, known to be decided
     * @param round where to begin, from 1
     */
    public Proposer(String name, List<String> agents, Epoch seen, Order order, long round) {
        this.name = name;
        this.agents = List.copyOf(agents);
        this.seen = seen;
        this.order = order;
        highestRound = round - 1;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** Begins, or begins anew above all ballots heard of; the message goes to every agent. */
    public Message begin() {
        ballot = new Ballot(++highestRound, name);
        promised.clear();
        taken.clear();
        bestBallot = null;
        candidate = seen.after(order);
        proposing = false;
        return new Prepare(seen.generation() + 1, ballot);
    }

    /** Takes an answer; returns what to tell every agent now, or null for nothing. */
    public Message on(Reply reply) {
        if (!(outcome instanceof Open)) {
            return null;
        }
        if (reply instanceof Decided decided) {
            return decided.epoch().generation() > seen.generation() ? end(decided.epoch()) : null;
        }
        if (reply instanceof Outbid outbid) {
            highestRound = Math.max(highestRound, outbid.promised().round());
        } else if (reply instanceof Promise promise && promise.ballot().equals(ballot) && !proposing) {
            promised.add(promise.agent());
            if (promise.takenBallot() != null && (bestBallot == null || promise.takenBallot().compareTo(bestBallot) > 0)) {
                bestBallot = promise.takenBallot();
                candidate = promise.taken();

            }
            if (majority(promised)) {
                proposing = true;
                return new Propose(ballot, candidate);
            }
        } else if (reply instanceof Taken took && took.ballot().equals(ballot) && proposing) {
            taken.add(took.agent());
            if (majority(taken)) {
                return end(candidate);
            }
        }
        return null;
    }

    private boolean majority(Set<String> some) {
        return 2 * some.size() > agents.size();
    }

    private Message end(Epoch epoch) {
        boolean inForce = epoch.standing().values().stream().anyMatch(o -> o.id().equals(order.id()));
        outcome = inForce || epoch.order().id().equals(order.id()) ? new Won(epoch) : new Lost(epoch);
        return new Decide(epoch);
    }
}
