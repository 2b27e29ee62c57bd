#pragma once

#include "crocusmount/Event.h"
#include "shell/Net.h"
#include "shell/StoreClient.h"

#include <functional>

namespace crocusmount {

/// Reads the configuration from the platform's store and watches it for changes while following is enabled.
class ConfigurationFollower {
public:
    /// Receives the events of the follower.
    using Post = std::function<void(EventBody)>;

    ConfigurationFollower(net::io_context&, StoreClient&, Post);
    void setFollowing(bool);
    /// @return number of calls to the store
    std::uint64_t calls() const { return m_calls; }

private:
    /// Starts the loops of a new session.
    void startSession();
    /// Reads the configuration and watches it until the session ends.
    Awaitable<void> followLoop(std::uint64_t session);
    /// Reads and posts the whole configuration.
    /// @return whether the store could be read
    Awaitable<bool> readAll();
    /// Compares the revision of the store at intervals and starts a new session if the watch has missed a change.
    Awaitable<void> checkLoop(std::uint64_t session);
    Awaitable<void> sleep(std::chrono::milliseconds);
    /// Posts the changes of a batch.
    /// @return false if the session has ended
    bool applyBatch(const StoreWatchBatch&, std::uint64_t session);

    net::io_context& m_context;
    StoreClient& m_store;
    Post m_post;
    bool m_following = false;
    std::uint64_t m_session = 0; ///< incremented to end the loops of the previous session
    Revision m_revision; ///< of the configuration that was last read
    std::uint64_t m_calls = 0;
};

} // namespace crocusmount
