#include "requests/KeyHash.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace crocusmount {

std::string hashKey(const WorkspaceId& workspace, const std::string& key)
{
    // Without the length, workspace "a" with key "bc" and workspace "ab" with key "c" would have one hash.
    const std::string text = absl::StrCat(workspace.value().size(), ":", workspace.value(), key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16), absl::Hex(hash.low64, absl::kZeroPad16));
}

} // namespace crocusmount
