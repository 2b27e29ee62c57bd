#pragma once

#include "crocusmount/PeerMessage.h"

#include <string>
#include <vector>

namespace crocusmount {

/// Decodes the platform's list of instances. Entries without "instance", "callers" or "peers" are skipped.
/// @param text  JSON of the form
///              {"instances":[{"instance":"","dataCentre":"","callers":"ip:port","peers":"ip:port","leaving":false}]}
std::vector<MemberUpdate> instancesFromJson(const std::string& text);

} // namespace crocusmount
