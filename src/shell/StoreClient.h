#pragma once

#include "crocusmount/Claim.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocusmount {

/// A key with its value.
struct StoreEntry {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< store revision of the last change of this key
};

/// Result of a range read.
struct StoreRange {
    std::int64_t revision = 0; ///< of the whole store at the time of the read
    std::vector<StoreEntry> entries; ///< sorted by key
};

/// One atomic write of several keys. The store applies it only if the guard key has the expected revision.
struct StoreWrite {
    std::string guardKey; ///< empty: unconditional write
    std::int64_t expectedModRevision = 0; ///< 0: the key must not exist
    std::vector<std::pair<std::string, std::string>> puts; ///< keys and their new values
    /// Lease of the keys in puts; 0: none. Only clients that are a LeaseClient too support leases.
    std::int64_t lease = 0;
    std::vector<std::string> deletes; ///< keys to delete
    std::vector<std::pair<std::string, std::string>> deleteRanges; ///< ranges of keys [begin, end) to delete
};

/// Result of an atomic write.
struct StoreWriteResult {
    WriteOutcome outcome = WriteOutcome::NotSent;
    std::int64_t revision = 0; ///< store revision of the write, if committed
};

/// One change of a key.
struct StoreEvent {
    StoreEntry entry; ///< for a deleted key, only the key and the revision have a meaning
    bool deleted = false;
};

/// Changes that a watch delivers together.
struct StoreWatchBatch {
    std::int64_t revision = 0; ///< of the whole store when the batch was sent
    std::vector<StoreEvent> events;
};

/// Client of the platform's key-value service. Implementations speak the service's protocol.
class StoreClient {
public:
    /// Receives a batch of changes.
    /// @return false to end the watch
    using OnWatch = std::function<bool(StoreWatchBatch)>;

    virtual ~StoreClient() = default;

    /// Reads the keys in [begin, end) at one revision.
    /// @return the entries, or the error of the call
    Awaitable<absl::StatusOr<StoreRange>> range(std::string begin, std::string end)
    {
        return onRange(std::move(begin), std::move(end));
    }
    /// Sends an atomic write. The outcome is Unknown if the store may have applied the write but did not
    /// confirm it.
    Awaitable<StoreWriteResult> write(StoreWrite write) { return onWrite(std::move(write)); }
    /// Reports changes of keys in [begin, end) until the callback returns false or the watch fails.
    /// @param fromRevision  revision of the first change to report
    /// @return OutOfRange if the store has compacted that revision, DeadlineExceeded if the client finds that the store
    ///         has stopped responding, otherwise the reason why the watch ended
    Awaitable<absl::Status> watch(std::string begin, std::string end, std::int64_t fromRevision, OnWatch onWatch)
    {
        return this->onWatch(std::move(begin), std::move(end), fromRevision, std::move(onWatch));
    }

private:
    virtual Awaitable<absl::StatusOr<StoreRange>> onRange(std::string begin, std::string end) = 0;
    virtual Awaitable<StoreWriteResult> onWrite(StoreWrite) = 0;
    virtual Awaitable<absl::Status> onWatch(std::string begin, std::string end, std::int64_t fromRevision, OnWatch) = 0;
};

/// @return the exclusive end of the range of keys that start with a prefix
std::string prefixEnd(std::string prefix);

} // namespace crocusmount
