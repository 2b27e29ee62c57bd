#pragma once

#include "relay/LoadReport.h"

#include <absl/status/statusor.h>
#include <string>

/// The Thrift compact form of load reports (src/idl/peer.thrift).
namespace crocusmount {

std::string encode(const relay::LoadReport&);

/// @return the report, or InvalidArgument where the bytes are not one
absl::StatusOr<relay::LoadReport> decodeLoadReport(const std::string& bytes);

} // namespace crocusmount
