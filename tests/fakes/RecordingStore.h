#pragma once

#include "shell/LeaseClient.h"
#include "shell/StoreClient.h"

#include <vector>

namespace crocusmount {

/// A store that confirms all writes and lease calls and records the writes, but answers no reads or watches.
class RecordingStore final : public StoreClient, public LeaseClient {
public:
    std::vector<StoreWrite> writes;

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override { co_return unavailable(); }
    Awaitable<StoreWriteResult> onWrite(StoreWrite write) override
    {
        writes.push_back(std::move(write));
        co_return StoreWriteResult { WriteOutcome::Committed, 9 };
    }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t, OnWatch) override
    {
        co_return unavailable();
    }
    Awaitable<absl::StatusOr<Lease>> onGrant(std::chrono::milliseconds) override
    {
        co_return Lease { 7, std::chrono::seconds(2) };
    }
    Awaitable<absl::Status> onKeep(std::int64_t) override { co_return absl::OkStatus(); }
    Awaitable<absl::Status> onEnd(std::int64_t) override { co_return absl::OkStatus(); }

    static absl::Status unavailable() { return absl::UnavailableError("no store"); }
};

} // namespace crocusmount
