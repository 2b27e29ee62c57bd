#include "relay/ContentDigest.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace crocusmount::relay {

std::string ContentDigest::toHex() const { return absl::BytesToHexString(toBytes()); }

ContentDigest ContentDigest::fromBytes(const std::string& bytes)
{
    ContentDigest digest;
    if (bytes.size() == Size)
        std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

} // namespace crocusmount::relay
