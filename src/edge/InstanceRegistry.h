#pragma once

#include "edge/ListDigest.h"
#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmount {

/// This instance's entry in the store, kept alive by a lease; and the other instances' entries.
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

    /// Notes which listed instances the others do not hear. Callers are not sent there, unless that would leave out
    /// half of the list: then it is this instance that is cut off, or the word of one that is.
    /// @param silent  their keys, see relay::instanceKey
    void setSilent(std::set<std::uint64_t> silent);

    /// Notes that a listed instance is about to end; the store may be away and keep its entry for as long as its lease.
    /// @param key  see relay::instanceKey
    void noteLeaving(std::uint64_t key);
    /// @return whether this instance has taken itself off the list
    bool isWithdrawn() const { return m_withdrawn; }

    /// @return callers' addresses of the live instances, this one included unless it withdrew
    std::vector<std::string> callerAddresses() const;
    /// @return the instances that share the backend servers, this one included
    std::uint32_t count() const;
    /// @return whether an instance is listed; this one once its own entry is written
    bool isListed(const std::string& id) const;
    /// @return how many listed instances come before this one, by id
    std::size_t rank() const;
    /// @return the same within this instance's data centre
    std::size_t rankInDataCentre() const;
    /// @return the entries of the other live instances
    std::vector<Entry> others() const;
    /// @return whether a listed instance is reported silent or is leaving
    bool isSilent(const Entry&) const;
    const Entry& self() const { return m_self; }
    /// @return entries of instances that could not be read
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    Awaitable<void> keepLoop();
    Awaitable<bool> keep();
    Awaitable<bool> registerSelf();
    void takeInstance(const StoreEvent&);
    Awaitable<void> leave();

    net::io_context& m_context;
    StoreClient& m_store;
    LeaseClient& m_leases;
    Entry m_self;
    std::string m_key;
    std::map<std::string, Entry> m_others; ///< by key
    std::set<std::uint64_t> m_leaving; ///< keys of listed instances that are about to end
    std::set<std::uint64_t> m_silent; ///< keys of instances that the others do not hear
    ListDigest m_digest { "instances" };
    std::uint64_t m_unreadable = 0;
    Lease m_lease;
    bool m_listed = false; ///< our entry was seen in the store
    bool m_withdrawn = false;
};

} // namespace crocusmount
