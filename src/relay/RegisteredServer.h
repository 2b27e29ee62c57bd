#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"
#include "relay/ServiceConfiguration.h"

#include <string>

namespace crocusmount::relay {

/// What the platform's registry says of one backend server. A server that starts again takes a new id, or keeps its id
/// with a later start time; in both cases it holds nothing of before.
struct RegisteredServer {
    BackendId id;
    StartTime startedAt;
    ServiceId service;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    std::string accelerator; ///< name of its AcceleratorKind; empty for a plain service
    std::uint32_t slots = 1;
    bool leaving = false;
    LayerRange layers; ///< held and ready to run; empty if none

    bool operator==(const RegisteredServer&) const = default;
};

} // namespace crocusmount::relay
