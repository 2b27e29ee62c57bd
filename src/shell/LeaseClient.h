#pragma once

#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>

namespace crocusmount {

/// A time-limited claim on keys in the store: they are removed when it ends.
struct Lease {
    std::int64_t id = 0; ///< 0: none
    std::chrono::milliseconds lifetime {};
};

/// The leases of the platform's key-value service.
class LeaseClient {
public:
    virtual ~LeaseClient() = default;

    Awaitable<absl::StatusOr<Lease>> grantLease(std::chrono::milliseconds lifetime) { return onGrant(lifetime); }
    /// @return NotFound where the lease has ended, Unavailable where the store did not say
    Awaitable<absl::Status> keepLease(std::int64_t id) { return onKeep(id); }
    Awaitable<absl::Status> endLease(std::int64_t id) { return onEnd(id); }

private:
    virtual Awaitable<absl::StatusOr<Lease>> onGrant(std::chrono::milliseconds) = 0;
    virtual Awaitable<absl::Status> onKeep(std::int64_t) = 0;
    virtual Awaitable<absl::Status> onEnd(std::int64_t) = 0;
};

} // namespace crocusmount
