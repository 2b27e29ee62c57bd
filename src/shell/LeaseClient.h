#pragma once

#include "shell/Net.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>

namespace crocusmount {

/// A lease in the store. The store removes the keys of a lease when the lease ends.
struct Lease {
    std::int64_t id = 0; ///< 0: none
    std::chrono::milliseconds lifetime {}; ///< time until an unrenewed lease ends
};

/// Client of the leases in the platform's key-value service.
class LeaseClient {
public:
    virtual ~LeaseClient() = default;

    /// Requests a new lease.
    /// @param lifetime  requested lifetime; the store may grant another one
    /// @return the lease, or the error of the call
    Awaitable<absl::StatusOr<Lease>> grantLease(std::chrono::milliseconds lifetime) { return onGrant(lifetime); }
    /// Renews a lease.
    /// @return OK, NotFound if the lease has ended, or another error if the store did not confirm the renewal
    Awaitable<absl::Status> keepLease(std::int64_t id) { return onKeep(id); }
    /// Ends a lease before its lifetime is over.
    /// @return OK also if the lease has already ended, or the error of the call
    Awaitable<absl::Status> endLease(std::int64_t id) { return onEnd(id); }

private:
    virtual Awaitable<absl::StatusOr<Lease>> onGrant(std::chrono::milliseconds) = 0;
    virtual Awaitable<absl::Status> onKeep(std::int64_t) = 0;
    virtual Awaitable<absl::Status> onEnd(std::int64_t) = 0;
};

} // namespace crocusmount
