#pragma once

#include "edge/QuarantineSink.h"
#include "relay/RequestTrait.h"
#include "shell/StoreClient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace crocusmount {

class InstanceRegistry;

namespace relay {
    class RelayNode;
}

/// Persists the quarantined traits of requests in the store, one key for each. Instances read them when they start, and
/// an operator lifts a quarantine on all instances by deleting its key.
///
/// Running instances do not depend on the store for this: they inform each other of crashes by datagrams.
class QuarantineStore final : public QuarantineSink {
public:
    /// A quarantined trait.
    struct Entry {
        relay::RequestTrait trait;
        std::int64_t sinceMs = 0; ///< Unix time in milliseconds, by the clock of the instance that wrote the entry
        std::uint32_t servers = 0; ///< number of servers that crashed while they processed such requests
        std::int64_t revision = 0; ///< store revision of the entry; 0 before it is stored
    };
    using Entries = std::map<std::string, Entry>; ///< by id, which is the store key without its prefix

    /// @param registry  gives the order in which instances write a verdict of another one; must outlive this object
    QuarantineStore(net::io_context&, StoreClient&, relay::RelayNode&, const InstanceRegistry& registry);

    /// Applies a change of the store. Keys that are not quarantine entries are ignored.
    void storeChanged(const StoreEvent&);

    const Entries& entries() const { return m_entries; }
    /// @return number of entries received so far that could not be parsed
    std::uint64_t unreadable() const { return m_unreadableCount; }

    /// Lifts a quarantine on all instances by deleting its entry from the store.
    /// @return NotFound if there is no entry with this id, Unavailable if the store did not confirm the deletion
    Awaitable<absl::Status> lift(std::string id);

    /// @return the id of a trait's entry
    static std::string idOf(const relay::RequestTrait&);

private:
    using Clock = std::chrono::steady_clock;
    /// A decision to quarantine a trait that is not yet in the store.
    struct PendingVerdict {
        Entry entry;
        Clock::time_point due; ///< time of the next attempt to write the entry
    };

    void onQuarantine(const relay::effect::QuarantineTrait&) override;
    void onClear(const relay::effect::ClearTrait&) override;
    Awaitable<void> writeLoop();
    Awaitable<bool> write(std::string id, Entry entry);
    std::vector<std::string> keysToDelete() const;

    net::io_context& m_context;
    StoreClient& m_store;
    relay::RelayNode& m_node;
    const InstanceRegistry& m_registry;
    Entries m_entries;
    std::map<std::string, PendingVerdict> m_pendingVerdicts; ///< by id
    std::uint64_t m_unreadableCount = 0;
    bool m_isWriteLoopRunning = false;
};

} // namespace crocusmount
