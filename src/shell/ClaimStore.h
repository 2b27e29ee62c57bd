#pragma once

#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "shell/Net.h"

#include <functional>

namespace crocusmount {

class StoreClient;

/// Reads and writes the log of claims in the platform's store.
class ClaimStore {
public:
    /// Receives the results of reads and appends.
    using Post = std::function<void(EventBody)>;

    ClaimStore(net::io_context&, StoreClient&, Post);
    /// Reads the batches of a shard after a sequence number and posts ClaimsRead.
    void read(const effect::ReadClaims&);
    /// Appends a batch to a shard if the head has the expected revision, and posts ClaimsAppended.
    void append(const effect::AppendClaims&);
    /// @return number of calls to the store
    std::uint64_t calls() const { return m_calls; }

private:
    Awaitable<void> runRead(effect::ReadClaims);
    Awaitable<void> runAppend(effect::AppendClaims);

    net::io_context& m_context;
    StoreClient& m_store;
    Post m_post;
    std::uint64_t m_calls = 0;
};

} // namespace crocusmount
