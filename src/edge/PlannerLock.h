#pragma once

#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace crocusmount {

class InstanceRegistry;

/// The planner's lock in the store, which one instance holds under a separate lease. That lease is shorter than the
/// lease of an instance's entry, because lost layers are not placed again while there is no planner.
///
/// When the planner dies, hundreds of instances see the lock become free at the same moment. The instances try to
/// acquire the lock in turns, in the order of their ids, so that the store receives one or two writes and not one per
/// instance.
class PlannerLock {
public:
    /// All parameters must outlive this.
    /// @param registry  lists the instances
    PlannerLock(net::io_context&, StoreClient&, LeaseClient&, const InstanceRegistry& registry);

    /// Starts to acquire and renew the lock in the background, until release() or until the context stops.
    void start();
    /// Releases the lock for good by ending its lease.
    void release();
    /// Sets whether this instance may hold the lock. Otherwise it releases the lock and leaves it to the others, for
    /// example while it does not reach the engines that it would send orders to.
    void setEligible(bool isEligible) { m_isEligible = isEligible; }
    /// Applies a change of the store. Changes of keys other than the lock are ignored.
    void storeChanged(const StoreEvent&);

    /// @return whether this instance may send orders: it holds the lock, and the lease cannot have expired yet
    bool isHeld() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    Awaitable<void> lockLoop();
    Awaitable<void> tryAcquire();
    Awaitable<void> renewLease();
    Awaitable<void> revokeLease();
    /// @return whether the lock names this instance, perhaps under an expired lease
    bool isOwnLock() const;
    /// @return whether the lock may be acquired: it is not set, or its holder has been unlisted for too long
    bool isFree(Time now) const;
    /// @return whether this instance may try to acquire the free lock now
    bool isOwnTurn(Time now) const;

    net::io_context& m_context;
    StoreClient& m_store;
    LeaseClient& m_leases;
    const InstanceRegistry& m_registry;
    std::string m_holderId; ///< id of the instance that holds the lock; empty: none
    std::int64_t m_revision = 0; ///< store revision of the lock's last write; 0: the lock is not set
    Time m_freeSince; ///< when the turns of the instances begin: at the lock's deletion, or shortly after the start
    Time m_holderLastValid; ///< when the lock was last seen not set, or held by a listed instance
    Lease m_lease; ///< id 0: none
    Time m_leaseExpiresAt; ///< earliest time at which the lease may expire, by this instance's clock
    bool m_isEligible = true; ///< see setEligible()
    bool m_isReleased = false;
};

} // namespace crocusmount
