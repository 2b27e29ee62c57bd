#pragma once

#include "edge/StoreMirror.h"
#include "relay/CrashReport.h"
#include "relay/LoadReport.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// Content of a datagram between entry instances. Each part is optional.
struct PeerDatagram {
    std::optional<relay::LoadReport> loads;
    std::optional<StoreMirror::Progress> storeProgress; ///< of the sender's copy of the store
    std::optional<StoreMirror::Changes> storeChanges;
    std::vector<std::uint64_t> deadEngines {}; ///< keys of engines that a health check of the sender just found dead
    std::vector<std::uint64_t> closedEngines {}; ///< keys of engines that reject new work although they have room
    std::optional<std::uint64_t> leavingInstance {}; ///< key of the sender, when callers must no longer be sent to it
    std::vector<relay::CrashReport> crashes {}; ///< requests during which the sender saw servers crash
    /// The receiver forwards storeChanges to the instances with ids after its own, up to and including this id; empty:
    /// no forwarding.
    std::string forwardUntil {};
    std::vector<relay::RequestIdentity> soundRequests {}; ///< suspect requests that the sender saw run without a crash
};

/// @return the datagram in Thrift's compact protocol (RelayDatagram in src/idl/peer.thrift)
std::string encode(const PeerDatagram&);

/// @return the datagram, or InvalidArgument if the bytes are not a valid one
absl::StatusOr<PeerDatagram> decodePeerDatagram(const std::string& bytes);

} // namespace crocusmount
