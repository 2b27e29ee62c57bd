#pragma once

#include "edge/UpstreamAttempt.h"
#include "relay/ContentDigest.h"

#include <string>

namespace crocusmount::relay {

/// Computes the digest of a request's method, host, target and body, which is equal in every process. Headers are left
/// out, because callers give each repeat of a request a new id and another deadline.
/// @param host  host name that selects the route, without a port
ContentDigest digestOf(const CallerRequest&, const std::string& host);

} // namespace crocusmount::relay
