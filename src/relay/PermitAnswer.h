#pragma once

#include "relay/ServerLimit.h"

#include <cstdint>

namespace crocusmount::relay {

/// The coordinator's answer to a PermitRequest.
struct PermitAnswer {
    std::uint64_t server = 0; ///< key of one start of the server, see engineKey
    std::uint64_t number = 0; ///< of the PermitRequest
    std::uint32_t granted = 0; ///< permits
    Duration retryAfter {}; ///< when to ask for those that were not granted; zero if all were
    ServerLimit limit {}; ///< as the coordinator knows it

    bool operator==(const PermitAnswer&) const = default;
};

} // namespace crocusmount::relay
