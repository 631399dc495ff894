package petrelplank.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.service.IoService;

/**
 * Releases the places that closed sockets held in their {@link DescriptorBudget}. The platform closes the descriptor
 * of a channel registered with a selector only in the selector's next selection, so that a place is released after
 * that and not when MINA reports the session closed. The I/O thread's, but for {@link #setBudget}.
 */
final class DescriptorReleases {
    private final Map<IoService, DescriptorBudget> budgets = new ConcurrentHashMap<>();
    /** The budget of each socket closed since the last selection. */
    private final List<DescriptorBudget> pending = new ArrayList<>();

    /** Names the budget of a service's sockets; from any thread. */
    void setBudget(IoService service, DescriptorBudget budget) {
        budgets.put(service, budget);
    }

    /** A socket of a service was closed. */
    void socketClosed(IoService service) {
        DescriptorBudget budget = budgets.get(service);
        if (budget != null) {
            pending.add(budget);
        }
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** The selector has selected since the pending sockets were closed. */
    void releasePending() {
        pending.forEach(DescriptorBudget::release);
        pending.clear();
    }
}
