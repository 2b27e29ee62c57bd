#pragma once

#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

namespace crocusmount {

/// A store that keeps only the planner's lock and counts the writes to it. Ranges and watches are unavailable; any
/// other write succeeds.
class LockStore final : public StoreClient, public LeaseClient {
public:
    static constexpr const char* LockKey = "crocusmount/planner";

    std::string holder; ///< value of the latest successful write to the lock
    std::int64_t revision = 0; ///< modification revision of the lock; 0: never written
    std::size_t writesToTheLock = 0; ///< including the ones that conflicted

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override
    {
        co_return absl::UnavailableError("no list");
    }
    Awaitable<StoreWriteResult> onWrite(StoreWrite write) override
    {
        if (write.guardKey != LockKey)
            co_return StoreWriteResult { WriteOutcome::Committed, 1 };
        ++writesToTheLock;
        if (write.expectedModRevision != revision)
            co_return StoreWriteResult { WriteOutcome::Conflict, 0 };
        holder = write.puts.front().second;
        revision += 10;
        co_return StoreWriteResult { WriteOutcome::Committed, revision };
    }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t, OnWatch) override
    {
        co_return absl::UnavailableError("no watch");
    }
    Awaitable<absl::StatusOr<Lease>> onGrant(std::chrono::milliseconds lifetime) override
    {
        co_return Lease { 7, lifetime };
    }
    Awaitable<absl::Status> onKeep(std::int64_t) override { co_return absl::OkStatus(); }
    Awaitable<absl::Status> onEnd(std::int64_t) override { co_return absl::OkStatus(); }
};

} // namespace crocusmount
