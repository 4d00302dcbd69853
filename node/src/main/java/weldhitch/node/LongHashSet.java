package weldhitch.node;

import java.util.Arrays;

/**
 * A set of hash values in an open-addressing table with linear probing, which allocates nothing for an element. Grows
 * as needed and never shrinks. Not thread-safe.
 */
final class LongHashSet {
    private static final int INITIAL_CAPACITY = 256;
    /** Marks a free slot; the element 0 is stored as 1. */
    private static final long FREE = 0;

    /** The slots; their number is a power of two, and at least half of them are free. */
    private long[] slots = new long[INITIAL_CAPACITY];

    private int size;

    int size() {
        return size;
    }

    void add(long value) {
        if (size * 2 >= slots.length) {
            grow();
        }
        insert(value == FREE ? 1 : value);
    }

    private void insert(long value) {
        int index = indexOf(value);
        if (slots[index] == FREE) {
            slots[index] = value;
            size++;
        }
    }

    boolean contains(long value) {
        return slots[indexOf(value == FREE ? 1 : value)] != FREE;
    }

    /** Returns the slot that has the value, or else the free one in which it belongs. */
    private int indexOf(long value) {
        int mask = slots.length - 1;
        int index = (int) value & mask;
        while (slots[index] != FREE && slots[index] != value) {
            index = index + 1 & mask;
        }
        return index;
    }

    private void grow() {
        long[] smaller = slots;
        slots = new long[smaller.length * 2];
        size = 0;
        for (long value : smaller) {
            if (value != FREE) {
                insert(value);
            }
        }
    }

    void clear() {
        Arrays.fill(slots, FREE);
        size = 0;
    }
}
