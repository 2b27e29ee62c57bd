#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <string_view>
#include <vector>

namespace crocusmount::relay {

/// Decides which headers of a message are hop-by-hop, and therefore not forwarded (RFC 9110, 7.6.1).
class HopByHop {
public:
    /// @param connection  value of the message's Connection header, which may list further hop-by-hop headers
    explicit HopByHop(std::string_view connection)
    {
        for (const absl::string_view name :
            absl::StrSplit(absl::string_view(connection.data(), connection.size()), ',')) {
            const absl::string_view trimmed = absl::StripAsciiWhitespace(name);
            if (!trimmed.empty())
                m_listed.emplace_back(trimmed.data(), trimmed.size());
        }
    }

    /// @return whether a header is hop-by-hop
    bool isHopByHop(std::string_view header) const
    {
        const auto isSame = [&](std::string_view name) {
            return absl::EqualsIgnoreCase(
                absl::string_view(header.data(), header.size()), absl::string_view(name.data(), name.size()));
        };
        static constexpr std::string_view standardNames[] = { "Connection", "Keep-Alive", "Proxy-Connection", "TE",
            "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization" };
        for (const std::string_view name : standardNames) {
            if (isSame(name))
                return true;
        }
        for (const std::string& name : m_listed) {
            if (isSame(name))
                return true;
        }
        return false;
    }

private:
    std::vector<std::string> m_listed; ///< headers that the Connection header lists
};

} // namespace crocusmount::relay
