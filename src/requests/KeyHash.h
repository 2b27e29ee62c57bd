#pragma once

#include "crocusmount/Ids.h"

#include <string>

namespace crocusmount {

/// Hashes an idempotency key together with its workspace. All instances compute equal hashes.
/// @return a 128-bit hash as 32 hexadecimal digits
std::string hashKey(const WorkspaceId&, const std::string& key);

} // namespace crocusmount
