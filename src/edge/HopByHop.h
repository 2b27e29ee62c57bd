#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <string_view>
#include <vector>

namespace crocusmount::relay {

/// Tells headers that concern one connection only from those that are forwarded (RFC 9110, 7.6.1).
class HopByHop {
public:
    /// @param connection  the value of the message's Connection header; it may name further ones
    explicit HopByHop(std::string_view connection)
    {
        for (const absl::string_view name :
            absl::StrSplit(absl::string_view(connection.data(), connection.size()), ',')) {
            const absl::string_view trimmed = absl::StripAsciiWhitespace(name);
            if (!trimmed.empty())
                m_named.emplace_back(trimmed.data(), trimmed.size());
        }
    }

    bool concerns(std::string_view header) const
    {
        const auto same = [&](std::string_view name) {
            return absl::EqualsIgnoreCase(
                absl::string_view(header.data(), header.size()), absl::string_view(name.data(), name.size()));
        };
        static constexpr std::string_view standard[] = { "Connection", "Keep-Alive", "Proxy-Connection", "TE",
            "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization" };
        for (const std::string_view name : standard) {
            if (same(name))
                return true;
        }
        for (const std::string& name : m_named) {
            if (same(name))
                return true;
        }
        return false;
    }

private:
    std::vector<std::string> m_named;
};

} // namespace crocusmount::relay
