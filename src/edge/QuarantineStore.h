#pragma once

#include "edge/QuarantineSink.h"
#include "relay/RequestIdentity.h"
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

/// The quarantined requests in the store, one key each: instances that start read them, and an operator who deletes one
/// lifts it everywhere. Instances tell each other of crashes by datagrams, so that verdicts do not wait for the store.
class QuarantineStore final : public QuarantineSink {
public:
    struct Entry {
        relay::RequestIdentity request;
        std::int64_t sinceMs = 0; ///< Unix milliseconds, by the clock of the instance that wrote it
        std::uint32_t servers = 0; ///< that ended under it
        std::int64_t revision = 0;
    };
    using Entries = std::map<std::string, Entry>; ///< by id, the part of the key after the prefix

    /// @param registry  tells whose turn it is to write what its own finder may not have written; must outlive this
    QuarantineStore(net::io_context&, StoreClient&, relay::RelayNode&, const InstanceRegistry& registry);

    /// Takes in a change of the store; other keys are passed over.
    void storeChanged(const StoreEvent&);

    const Entries& entries() const { return m_entries; }
    /// @return entries that could not be read
    std::uint64_t unreadable() const { return m_unreadable; }

    /// Lifts a quarantine for all instances.
    /// @return NotFound where no such id is listed, Unavailable where the store did not confirm it
    Awaitable<absl::Status> lift(std::string id);

    /// @return the id under which a request is listed
    static std::string idOf(const relay::RequestIdentity&);

private:
    using Clock = std::chrono::steady_clock;
    struct Pending {
        Entry entry;
        Clock::time_point due;
    };

    void onQuarantine(const relay::effect::QuarantineRequest&) override;
    void onClear(const relay::effect::ClearRequest&) override;
    Awaitable<void> writeLoop();
    Awaitable<bool> write(std::string id, Entry entry);
    std::vector<std::string> keysToDrop() const;

    net::io_context& m_context;
    StoreClient& m_store;
    relay::RelayNode& m_node;
    const InstanceRegistry& m_registry;
    Entries m_entries;
    std::map<std::string, Pending> m_pending; ///< verdicts that the store does not show yet, by id
    std::uint64_t m_unreadable = 0;
    bool m_writing = false;
};

} // namespace crocusmount
