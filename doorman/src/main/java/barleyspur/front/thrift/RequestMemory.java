package barleyspur.front.thrift;

import barleyspur.transport.ByteBudget;

/** Reserves the memory of one connection's requests, from their receipt until nothing of them is kept. */
final class RequestMemory {

    private final ByteBudget.Share bodies;
    private final ByteBudget.Share requests;

    RequestMemory(InputBudgets budgets) {
        bodies = budgets.bodies().newShare();
        requests = budgets.requests().newShare();
    }

    /** The memory of one request. */
    final class Reservation {
        private final int bodyBytes;
        private boolean released;

        private Reservation(int bodyBytes) {
            this.bodyBytes = bodyBytes;
        }

        /** Returns the memory; further calls have no effect. */
        void release() {
            if (!released) {
                released = true;
                bodies.release(bodyBytes);
                requests.release(InputBudgets.REQUEST_STATE_BYTES);
            }
        }
    }

    /** Reserves the memory of a request with a body of this size; returns null if a budget refuses it. */
    Reservation tryReserve(int bodyBytes) {
        if (!requests.tryReserve(InputBudgets.REQUEST_STATE_BYTES)) {
            return null;
        }
        if (!bodies.tryReserve(bodyBytes)) {
            requests.release(InputBudgets.REQUEST_STATE_BYTES);
            return null;
        }
        return new Reservation(bodyBytes);
    }
}
