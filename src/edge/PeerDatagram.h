#pragma once

#include "edge/StoreMirror.h"
#include "relay/CrashReport.h"
#include "relay/LoadReport.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// One datagram between entry instances; any part may be absent.
struct PeerDatagram {
    std::optional<relay::LoadReport> loads;
    std::optional<StoreMirror::Progress> storeProgress; ///< of the sender's mirror
    std::optional<StoreMirror::Changes> storeChanges;
    std::vector<std::uint64_t> deadEngines {}; ///< keys of engines that the sender's checks have just found dead
    std::vector<std::uint64_t> closedEngines {}; ///< likewise of engines that take no new work though they have room
    std::optional<std::uint64_t> leavingInstance {}; ///< key of the sender, which is to be named to no callers any more
    std::vector<relay::CrashReport> crashes {}; ///< requests under which the sender saw servers end
    /// The receiver forwards storeChanges to the instances with ids after its own, up to and including this id; empty:
    /// no forwarding.
    std::string forwardUntil {};
    std::vector<relay::RequestIdentity> soundRequests {}; ///< some of these that it has seen run soundly
};

/// @return the Thrift compact form (src/idl/peer.thrift)
std::string encode(const PeerDatagram&);

/// @return the datagram, or InvalidArgument where the bytes are not one
absl::StatusOr<PeerDatagram> decodePeerDatagram(const std::string& bytes);

} // namespace crocusmount
