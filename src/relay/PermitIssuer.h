#pragma once

#include "crocusmount/Ids.h"
#include "relay/PermitAnswer.h"
#include "relay/PermitRequest.h"

#include <cstdint>
#include <map>

namespace crocusmount::relay {

/// Grants permits for servers that name a limit, on the instance that coordinates them. A token bucket for each server
/// keeps the sum of all instances' requests within its limit, whichever instances the calls arrive at.
class PermitIssuer {
public:
    /// Grants as many of the requested permits as the limit allows now.
    /// @param entropy  uniformly random; spreads the times at which instances ask again
    PermitAnswer answer(const PermitRequest&, TimePoint now, std::uint64_t entropy);

    /// @return whether the other instances have to be told that the server's limit has begun or ended; true once for
    ///         each change
    bool shouldAnnounce(std::uint64_t server);

private:
    struct Bucket {
        ServerLimit limit;
        double permits = 1;
        TimePoint startedAt; ///< when this instance began to coordinate the server
        TimePoint refilledAt;
        std::map<InstanceId, TimePoint> requesters; ///< when each instance last asked
        bool isAnnounced = false; ///< the other instances were told that the server names a limit
    };

    static void refill(Bucket&, TimePoint now);
    /// @return when an instance whose permits were denied asks again
    static Duration retryAfter(const Bucket&, std::uint64_t entropy);

    std::map<std::uint64_t, Bucket> m_buckets; ///< by key of the server
};

} // namespace crocusmount::relay
