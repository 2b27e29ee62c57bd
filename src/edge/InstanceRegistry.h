#pragma once

#include "edge/ListChangeLog.h"
#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmount {

/// Registers this instance in the store, with an entry that a lease keeps alive, and tracks the entries of the other
/// instances. An instance is "listed" while the store holds its entry.
class InstanceRegistry {
public:
    struct Entry {
        std::string id; ///< unique to one start of the instance
        std::string address; ///< TCP address for callers
        std::string dataCentre;
        std::string peerAddress; ///< UDP and TCP address for other instances; empty if it does not accept their data
    };

    InstanceRegistry(net::io_context&, StoreClient&, LeaseClient&, Entry self);

    /// Starts to register this instance and to renew its lease until it withdraws.
    void start();
    /// Removes this instance's entry from the store by ending its lease, so that callers are sent elsewhere at once.
    void withdraw();
    /// Applies a change of the store. Keys that are not instance entries are ignored.
    void storeChanged(const StoreEvent&);

    /// Sets the listed instances that their peers do not hear from. callerAddresses() leaves them out, unless half of
    /// its addresses or more would be missing. In that case this instance, or the one that reported them, is probably
    /// cut off itself.
    /// @param silent  keys of the instances, see relay::instanceKey
    void setSilentInstances(std::set<std::uint64_t> silent);

    /// Sets the instances that reach no backend server, although others do. callerAddresses() leaves them out as long
    /// as it has others.
    /// @param cutOff  keys of the instances, perhaps of this one, see relay::instanceKey
    void setCutOffInstances(std::set<std::uint64_t> cutOff);
    /// @return instances that are cut off from the servers as far as this instance knows
    std::size_t cutOffCount() const { return m_cutOffInstances.size(); }

    /// Notes that a listed instance is shutting down. If the store is unreachable, the instance's entry stays there
    /// until its lease expires.
    /// @param key  key of the instance, see relay::instanceKey
    void noteLeaving(std::uint64_t key);
    /// @return whether withdraw() was called
    bool isWithdrawn() const { return m_isWithdrawn; }

    /// @return addresses for callers of the instances that are not silent, leaving or cut off, including this one
    /// unless
    ///         it withdrew; silent instances are included if they are half of the addresses or more, and instances that
    ///         are cut off if there are no others
    std::vector<std::string> callerAddresses() const;
    /// @return number of instances that share the backend servers, including this one
    std::uint32_t count() const;
    /// @return whether an instance is listed; for this instance, whether its own entry is known to be written
    bool isListed(const std::string& id) const;
    /// @return number of listed instances whose ids sort before this instance's id
    std::size_t rank() const;
    /// @return number of listed instances of this data centre whose ids sort before this instance's id
    std::size_t rankInDataCentre() const;
    /// @return the entries of the other listed instances, sorted by id
    std::vector<Entry> others() const;
    /// @return whether a listed instance is silent or shutting down
    bool isSilentOrLeaving(const Entry&) const;
    const Entry& self() const { return m_self; }
    /// @return number of instance entries received so far that could not be parsed
    std::uint64_t unreadable() const { return m_unreadableCount; }

private:
    Awaitable<void> leaseLoop();
    Awaitable<bool> maintainRegistration();
    Awaitable<bool> registerSelf();
    void applyInstanceChange(const StoreEvent&);
    void removeEntry(const std::string& key);
    void listLatest(const std::string& address);
    Awaitable<void> revokeLease();

    net::io_context& m_context;
    StoreClient& m_store;
    LeaseClient& m_leases;
    Entry m_self;
    std::string m_key; ///< store key of this instance's entry
    struct StoredEntry {
        Entry entry;
        std::int64_t revision = 0; ///< of the store, when the entry was written
    };
    std::map<std::string, StoredEntry> m_entries; ///< of other instances, by store key
    std::map<std::string, Entry> m_others; ///< the latest of m_entries at each address, by store key
    std::set<std::uint64_t> m_leavingInstances; ///< instance keys of listed instances that are shutting down
    std::set<std::uint64_t> m_silentInstances; ///< instance keys, see setSilentInstances()
    std::set<std::uint64_t> m_cutOffInstances; ///< instance keys, see setCutOffInstances()
    ListChangeLog m_changeLog { "instances" };
    std::uint64_t m_unreadableCount = 0;
    Lease m_lease;
    bool m_isListed = false; ///< this instance's entry was written to or seen in the store
    bool m_isWithdrawn = false;
};

} // namespace crocusmount
