#pragma once

#include "shell/StoreClient.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace crocusmount {

/// Keeps a copy of the platform's store up to date with one watch over all of its keys, and reports each change. While
/// the store is away the copy stands still.
class StoreMirror {
public:
    using OnChange = std::function<void(const StoreEvent&)>;

    StoreMirror(net::io_context&, StoreClient&, OnChange);

    /// Begins to follow; runs until the context stops.
    void start();

    /// @return whether the copy has ever been complete
    bool isComplete() const { return m_complete; }
    /// @return whether the last call to the store was answered
    bool inContact() const { return m_inContact; }
    /// @return time since the store last answered
    std::chrono::milliseconds age() const;
    std::int64_t revision() const { return m_revision; }

private:
    Awaitable<void> followLoop();
    Awaitable<absl::Status> readAll();
    Awaitable<absl::Status> watchOnce();
    void take(const StoreEvent&);
    void lostContact(const absl::Status&);
    void regainedContact();
    void reportLapsed();

    net::io_context& m_context;
    StoreClient& m_store;
    OnChange m_onChange;
    std::map<std::string, std::int64_t> m_revisions; ///< of each key that was reported and not deleted since
    std::map<std::string, std::chrono::steady_clock::time_point> m_lapsed; ///< deletions held back, with their time
    std::chrono::steady_clock::time_point m_lastAnswer;
    std::chrono::steady_clock::time_point m_lostSince;
    std::chrono::steady_clock::time_point m_trustDeletionsFrom;
    std::int64_t m_revision = 0;
    bool m_complete = false;
    bool m_inContact = false;
    bool m_stale = true; ///< the history after m_revision is lost: all must be read
};

} // namespace crocusmount
