package petrelplank.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.service.IoService;

/**
 * Releases the permits that closed sockets hold in their {@link DescriptorBudget}. The JDK closes the descriptor of a
 * channel that is registered with a selector only during the selector's next selection, so a permit is released after
 * that selection and not when MINA reports the session as closed. Confined to the I/O thread, except for
 * {@link #setBudget}.
 */
final class DescriptorReleases {
    private final Map<IoService, DescriptorBudget> budgets = new ConcurrentHashMap<>();
    /** The budget of each socket closed since the last selection, one element for each socket. */
    private final List<DescriptorBudget> pendingReleases = new ArrayList<>();

    /** Sets the budget of a service's sockets; may be called from any thread. */
    void setBudget(IoService service, DescriptorBudget budget) {
        budgets.put(service, budget);
    }

    /** Records that a socket of a service was closed; its permit is released after the next selection. */
    void onSocketClosed(IoService service) {
        DescriptorBudget budget = budgets.get(service);
        if (budget != null) {
            pendingReleases.add(budget);
        }
    }

    boolean hasPending() {
        return !pendingReleases.isEmpty();
    }

    /** Releases all pending permits; call it after a selection that followed the closing of their sockets. */
    void releasePending() {
        pendingReleases.forEach(DescriptorBudget::release);
        pendingReleases.clear();
    }
}
