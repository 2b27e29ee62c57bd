#pragma once

#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace crocusmount {

class InstanceRegistry;

/// The planner's lock in the store, held by one instance under a lease of its own: that is shorter than the lease of an
/// instance's entry, since without a planner lost layers are placed nowhere.
///
/// The load pattern that it answers: the planner dies, and hundreds of instances see the lock go free in the same
/// moment. They take turns by their place in the list, so that the lock costs a call or two and not one an instance.
class PlannerLock {
public:
    /// @param registry  tells which instances are listed; must outlive this
    PlannerLock(net::io_context&, StoreClient&, LeaseClient&, const InstanceRegistry& registry);

    /// Begins to look for a free lock; runs until the context stops.
    void start();
    /// Gives the lock back and takes it no more.
    void release();
    /// Takes in a change of the store; other keys are passed over.
    void storeChanged(const StoreEvent&);

    /// @return whether this instance may give orders: it holds the lock, under a lease that cannot have ended
    bool isHeld() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    Awaitable<void> lockLoop();
    Awaitable<void> tryToTake();
    Awaitable<void> keep();
    Awaitable<void> endLease();
    bool isOwn() const;
    bool isFree(Time now) const;
    bool isOurTurn(Time now) const;

    net::io_context& m_context;
    StoreClient& m_store;
    LeaseClient& m_leases;
    const InstanceRegistry& m_registry;
    std::string m_holder; ///< instance that holds the lock; empty: none
    std::int64_t m_revision = 0; ///< of the lock; 0: nobody holds it
    Time m_freeSince; ///< nobody holds it since then
    Time m_strayLockSince; ///< the lock names no listed instance since then
    Lease m_lease; ///< id 0: none
    Time m_leaseEnds;
    bool m_released = false;
};

} // namespace crocusmount
