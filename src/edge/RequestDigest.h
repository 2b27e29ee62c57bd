#pragma once

#include "edge/UpstreamAttempt.h"
#include "relay/RequestIdentity.h"

#include <string>

namespace crocusmount::relay {

/// @param host  as it selects the route
/// @return the digest of method, host, target and body, the same in every process. Headers are left out: callers give
///         each repeat an id of its own, and another time to wait.
ContentDigest digestOf(const CallerRequest&, const std::string& host);

} // namespace crocusmount::relay
