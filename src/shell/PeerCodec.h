#pragma once

#include "crocusmount/ConfigurationChange.h"
#include "crocusmount/PeerMessage.h"

#include <absl/status/statusor.h>
#include <string>

/// Converts the messages between instances to and from the Thrift compact protocol (src/idl/peer.thrift).
namespace crocusmount {

std::string encode(const PeerMessage&);
std::string encode(const ConfigurationChange&);
/// @param since  revision of the configuration that the sender has
std::string encodeConfigurationRequest(Revision since);

/// @return the message, or InvalidArgument if the bytes cannot be decoded or hold an unknown kind or state
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes);
/// @return the change, or InvalidArgument if the bytes cannot be decoded
absl::StatusOr<ConfigurationChange> decodeConfigurationChange(const std::string& bytes);
/// @return the revision since which the peer requests changes, or InvalidArgument if the bytes cannot be decoded
absl::StatusOr<Revision> decodeConfigurationRequest(const std::string& bytes);

} // namespace crocusmount
