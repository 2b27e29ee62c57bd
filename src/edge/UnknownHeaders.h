#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>

namespace crocusmount::relay {

struct HeaderNames;

/// Counts the headers of backend servers' answers that the relay has no use for, by name. A header that servers begin
/// to send thus shows on the day it appears.
class UnknownHeaders {
public:
    /// @param names  headers with a meaning for the relay
    explicit UnknownHeaders(const HeaderNames& names);

    /// Counts a header of an answer unless it is known. Names beyond a limit are counted together.
    /// @param name  in any case of letters
    void add(std::string_view name);

    /// @return counts by name in lower case; "other" is the total of the names beyond the limit
    const std::map<std::string, std::uint64_t>& counts() const { return m_counts; }

private:
    std::unordered_set<std::string> m_known; ///< in lower case
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace crocusmount::relay
