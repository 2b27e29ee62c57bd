#include "shell/TransferCoding.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace crocusmount {

bool hasUnknownTransferCoding(const http::response_header<>& header)
{
    const auto [first, last] = header.equal_range(http::field::transfer_encoding);
    if (first == last)
        return false;
    const std::string_view value = first->value();
    const absl::string_view coding = absl::StripAsciiWhitespace(absl::string_view(value.data(), value.size()));
    return std::next(first) != last || !absl::EqualsIgnoreCase(coding, "chunked");
}

} // namespace crocusmount
