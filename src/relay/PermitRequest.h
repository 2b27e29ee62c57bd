#pragma once

#include "crocusmount/Ids.h"
#include "relay/ServerLimit.h"

#include <cstdint>

namespace crocusmount::relay {

/// Asks the coordinator of a limited server for permits. Each permit allows the sender to send the server one request.
struct PermitRequest {
    InstanceId sender;
    std::uint64_t server = 0; ///< key of one start of the server, see engineKey
    std::uint64_t number = 0; ///< increases with each request of the sender; repeated in the answer
    std::uint32_t count = 0; ///< permits wanted; 0 only reports the limit
    ServerLimit limit {}; ///< as the sender knows it

    bool operator==(const PermitRequest&) const = default;
};

} // namespace crocusmount::relay
