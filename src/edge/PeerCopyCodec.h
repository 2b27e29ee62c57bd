#pragma once

#include "edge/StoreMirror.h"

#include <absl/status/statusor.h>
#include <string>

namespace crocusmount {

/// @return the answer to a request for a copy, as a datagram with the progress and, if the copy is newer, the changes
///         after revision 0. Changes that are deletions and have a value are entries whose deletion is deferred.
std::string encodePeerCopy(const StoreMirror::PeerCopy&);

/// @return the answer, or InvalidArgument if the bytes are not a valid one
absl::StatusOr<StoreMirror::PeerCopy> decodePeerCopy(const std::string& bytes);

} // namespace crocusmount
