#pragma once

#include <string>
#include <string_view>

namespace crocusmount {

/// Extracts the values of the "data" lines from a stream of server-sent events. Other fields and comments are ignored.
class SseParser {
public:
    /// Parses the next bytes of the stream.
    /// @param onData  called with the value of each complete "data" line; returns false to stop parsing
    /// @return false if onData returned false
    template <typename OnData>
    bool feed(std::string_view bytes, OnData&& onData)
    {
        m_pending.append(bytes);
        std::size_t begin = 0;
        bool wantsMore = true;
        for (auto end = m_pending.find('\n'); wantsMore && end != std::string::npos;
             end = m_pending.find('\n', begin)) {
            std::string_view line(m_pending.data() + begin, end - begin);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            constexpr std::string_view field = "data:";
            if (line.substr(0, field.size()) == field) {
                line.remove_prefix(field.size());
                if (!line.empty() && line.front() == ' ')
                    line.remove_prefix(1);
                wantsMore = onData(line);
            }
            begin = end + 1;
        }
        m_pending.erase(0, begin);
        return wantsMore;
    }

private:
    std::string m_pending; ///< incomplete last line
};

} // namespace crocusmount
