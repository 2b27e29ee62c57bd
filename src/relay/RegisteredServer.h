#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"
#include "relay/ServiceConfiguration.h"

#include <string>

namespace crocusmount::relay {

/// Registry entry of one backend server. A server that restarts either takes a new id or keeps its id with a later
/// start time. In both cases it has lost all state from before.
struct RegisteredServer {
    BackendId id;
    StartTime startedAt; ///< zero if unknown
    ServiceId service; ///< service whose calls this server runs
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    std::string accelerator; ///< name of its AcceleratorKind; empty for a plain service
    std::uint32_t slots = 1; ///< maximum concurrent calls with this server as first stage or only server
    bool leaving = false; ///< whether the server drains its calls and will exit
    LayerRange layers; ///< loaded and ready to run; empty if none

    bool operator==(const RegisteredServer&) const = default;
};

} // namespace crocusmount::relay
