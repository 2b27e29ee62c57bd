#include "edge/RequestDigest.h"

#include "shell/Sha256.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace crocusmount::relay {

ContentDigest digestOf(const CallerRequest& request, const std::string& host)
{
    const std::string_view method = request.method_string();
    const std::string_view target = request.target();
    std::string text;
    // Each part is preceded by its length, so that different requests never yield the same text.
    for (const std::string_view part : { method, std::string_view(host), target, std::string_view(request.body()) }) {
        absl::StrAppend(&text, part.size(), ":");
        text.append(part);
    }
    const Sha256Digest fullDigest = sha256(text);
    ContentDigest digest;
    std::copy_n(fullDigest.begin(), ContentDigest::Size, digest.bytes.begin());
    return digest;
}

} // namespace crocusmount::relay
