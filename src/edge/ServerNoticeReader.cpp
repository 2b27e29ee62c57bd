#include "edge/ServerNoticeReader.h"

#include "edge/HeaderNames.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace crocusmount::relay {

namespace {

    constexpr unsigned ServiceUnavailable = 503;
    constexpr const char* RetryAfterHeader = "Retry-After";
    /// Longer times are cut, so that times computed from them do not overflow.
    constexpr double MaxRetryAfterSeconds = 24.0 * 3600;

    /// @return the decimal number of at least 0 that a text contains, or nothing
    std::optional<double> parseNumber(std::string_view text)
    {
        double number = 0;
        const bool isNumber = absl::SimpleAtod(absl::string_view(text.data(), text.size()), &number);
        return isNumber && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
    }

} // namespace

ServerNotice readServerNotice(const HeaderNames& names, unsigned status, const HeaderLookup& find)
{
    ServerNotice notice;
    notice.isSigned = find(names.seal).has_value();
    const auto readNumber = [&](const std::string& name) {
        const auto text = find(name);
        const std::optional<double> number = text ? parseNumber(*text) : std::nullopt;
        if (text && !number)
            ++notice.unreadable;
        return number;
    };
    notice.limitPerSecond = readNumber(names.serverLimit);
    // Only a rejection's time is the server's request to this instance. That of another answer is meant for the caller.
    if (status == ServiceUnavailable) {
        if (const auto seconds = readNumber(RetryAfterHeader))
            notice.retryAfter = Duration(std::llround(std::min(*seconds, MaxRetryAfterSeconds) * 1e6));
    }
    if (const auto leaving = find(names.serverLeaving)) {
        notice.isLeaving = *leaving == "1";
        if (!notice.isLeaving)
            ++notice.unreadable;
    }
    return notice;
}

} // namespace crocusmount::relay
