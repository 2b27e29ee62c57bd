#pragma once

#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <map>
#include <string>
#include <vector>

namespace crocusmount {

/// This instance's entry in the store, kept alive by a lease; the other instances' entries; and the planner's lock.
class InstanceRegistry {
public:
    struct Entry {
        std::string id; ///< new with each start
        std::string address; ///< for callers
        std::string dataCentre;
        std::string peerAddress; ///< for datagrams of other instances; empty if it takes none
    };

    InstanceRegistry(net::io_context&, StoreClient&, LeaseClient&, Entry self);

    void start();
    /// Takes this instance off the list at once, so that callers are sent elsewhere.
    void withdraw();
    /// Takes in a change of the store; keys of others are passed over.
    void storeChanged(const StoreEvent&);

    /// @return callers' addresses of the live instances, this one included unless it withdrew
    std::vector<std::string> callerAddresses() const;
    /// @return the instances that share the backend servers, this one included
    std::uint32_t count() const;
    /// @return whether this instance may give orders: it holds the lock, under a lease that cannot have ended
    bool isPlanner() const;
    /// @return the entries of the other live instances
    std::vector<Entry> others() const;
    const Entry& self() const { return m_self; }
    /// @return entries of instances that could not be read
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    Awaitable<void> keepLoop();
    Awaitable<void> lockLoop();
    Awaitable<bool> keep();
    Awaitable<bool> registerSelf();
    void takePlanner(const StoreEvent&);
    void takeInstance(const StoreEvent&);
    bool isLockFree() const;
    bool isListed(const std::string& id) const;
    Awaitable<void> leave();

    net::io_context& m_context;
    StoreClient& m_store;
    LeaseClient& m_leases;
    Entry m_self;
    std::string m_key;
    std::map<std::string, Entry> m_others; ///< by key
    std::string m_plannerId; ///< holder of the lock; empty: free
    std::int64_t m_plannerRevision = 0; ///< of the lock; 0: nobody holds it
    std::chrono::steady_clock::time_point m_strayLockSince; ///< the lock names no listed instance since then
    std::uint64_t m_unreadable = 0;
    Lease m_lease;
    std::chrono::steady_clock::time_point m_leaseEnds;
    bool m_listed = false; ///< our entry was seen in the store
    bool m_withdrawn = false;
};

} // namespace crocusmount
