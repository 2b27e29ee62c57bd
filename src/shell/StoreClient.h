#pragma once

#include "crocusmount/Claim.h"
#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocusmount {

struct StoreEntry {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

struct StoreRange {
    std::int64_t revision = 0; ///< of the whole store when it was read
    std::vector<StoreEntry> entries; ///< in order of key
};

/// One atomic write: applied as a whole if the guarded key still stands at the expected revision.
struct StoreWrite {
    std::string guardKey; ///< empty: written whatever stands there
    std::int64_t expectedModRevision = 0; ///< 0: the key must not exist
    std::vector<std::pair<std::string, std::string>> puts;
    std::int64_t lease = 0; ///< of the keys put; 0: they last. Only where the client is a LeaseClient too.
    std::vector<std::string> deletes;
    std::vector<std::pair<std::string, std::string>> deleteRanges; ///< [begin, end)
};

struct StoreWriteResult {
    WriteOutcome outcome = WriteOutcome::NotSent;
    std::int64_t revision = 0; ///< if committed
};

struct StoreEvent {
    StoreEntry entry;
    bool deleted = false;
};

struct StoreWatchBatch {
    std::int64_t revision = 0;
    std::vector<StoreEvent> events;
};

/// The platform's key-value service. Only its implementations know the service's protocol.
class StoreClient {
public:
    using OnWatch = std::function<bool(StoreWatchBatch)>;

    virtual ~StoreClient() = default;

    /// Reads the keys in [begin, end) at one revision.
    Awaitable<absl::StatusOr<StoreRange>> range(std::string begin, std::string end)
    {
        return onRange(std::move(begin), std::move(end));
    }
    Awaitable<StoreWriteResult> write(StoreWrite write) { return onWrite(std::move(write)); }
    /// Reports changes of [begin, end) from a revision on, until the callback returns false or the watch breaks.
    /// @return OutOfRange where the revision is compacted, DeadlineExceeded where the store fell silent, else why the
    ///         watch ended
    Awaitable<absl::Status> watch(std::string begin, std::string end, std::int64_t fromRevision, OnWatch onWatch)
    {
        return this->onWatch(std::move(begin), std::move(end), fromRevision, std::move(onWatch));
    }

private:
    virtual Awaitable<absl::StatusOr<StoreRange>> onRange(std::string begin, std::string end) = 0;
    virtual Awaitable<StoreWriteResult> onWrite(StoreWrite) = 0;
    virtual Awaitable<absl::Status> onWatch(std::string begin, std::string end, std::int64_t fromRevision, OnWatch) = 0;
};

/// @return the end of the range of keys that begin with a prefix
std::string prefixEnd(std::string prefix);

} // namespace crocusmount
